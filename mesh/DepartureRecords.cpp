#include "mesh/DepartureRecords.h"

#include "core/Hash.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace hemlockspar {

namespace {

/// A departure survives the loss of two witnesses.
constexpr std::size_t WitnessCount = 5;

/// Far more than there are instances.
constexpr std::size_t MaxRecords = 4096;

} // namespace

bool DepartureRecords::add(const InstanceId &Instance,
                           const ServerIncarnation &Left) {
  auto Found = this->Newest.find(Instance);
  if (Found == this->Newest.end()) {
    return this->Newest.size() < MaxRecords &&
           this->Newest.emplace(Instance, Left).second;
  }
  if (Found->second.StartedAt <= Left.StartedAt) {
    Found->second = Left;
  }
  return true;
}

std::optional<ServerIncarnation>
DepartureRecords::find(const InstanceId &Instance) const {
  auto Found = this->Newest.find(Instance);
  return Found == this->Newest.end() ? std::nullopt
                                     : std::optional(Found->second);
}

std::vector<InstanceId>
selectDepartureWitnesses(const std::map<InstanceId, InstanceRow> &Known,
                         const InstanceId &Instance) {
  // Rendezvous hashing: an instance that joins or leaves replaces at most one
  // witness.
  std::vector<std::pair<std::uint64_t, InstanceId>> Ranked;
  for (const auto &[Name, Row] : Known) {
    if (Name != Instance) {
      Ranked.emplace_back(stableHash(absl::StrCat(Instance, "/", Name)), Name);
    }
  }
  std::sort(Ranked.begin(), Ranked.end());
  Ranked.resize(std::min(Ranked.size(), WitnessCount));

  std::vector<InstanceId> Witnesses;
  for (auto &[Rank, Name] : Ranked) {
    Witnesses.push_back(std::move(Name));
  }
  return Witnesses;
}

std::size_t departureWriteQuorum(std::size_t Witnesses) {
  return (Witnesses + 1) / 2;
}

std::size_t departureReadQuorum(std::size_t Witnesses) {
  return Witnesses == 0 ? 0 : Witnesses - departureWriteQuorum(Witnesses) + 1;
}

} // namespace hemlockspar
