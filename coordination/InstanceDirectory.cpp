#include "coordination/InstanceDirectory.h"

#include "core/ErrorMacros.h"

#include <algorithm>

namespace hemlockspar {

bool InstanceDirectory::Instance::live() const {
  return this->LeaseVersion != 0 && this->Lease.State == LeaseState::Live &&
         this->Holding.Epoch == this->Lease.Epoch;
}

void InstanceDirectory::onRow(const TableRow &Row, TimePoint Now) {
  if (!Row.Value) {
    return;
  }

  if (auto Id = stripPrefix(Row.Key, LeasePrefix)) {
    auto Lease = LeaseRow::fromText(*Row.Value);
    HS_FAIL_COND(!Lease);

    Instance &Entry = this->Instances[*Id];
    Entry.Lease = *Lease;
    Entry.LeaseVersion = Row.Version;
    Entry.LeaseObservedAt = Now;
  }

  if (auto Id = stripPrefix(Row.Key, HoldingPrefix)) {
    auto Holding = HoldingRow::fromText(*Row.Value);
    HS_FAIL_COND(!Holding);

    Instance &Entry = this->Instances[*Id];
    Entry.Holding = std::move(*Holding);
    Entry.HoldingVersion = Row.Version;
  }
}

const InstanceDirectory::Instance *
InstanceDirectory::find(const InstanceId &Id) const {
  auto It = this->Instances.find(Id);
  return It == this->Instances.end() ? nullptr : &It->second;
}

std::size_t InstanceDirectory::liveCount() const {
  return std::count_if(this->Instances.begin(), this->Instances.end(),
                       [](const auto &Entry) { return Entry.second.live(); });
}

bool InstanceDirectory::anyLeaseRenewedInTable() const {
  return std::any_of(
      this->Instances.begin(), this->Instances.end(), [](const auto &Entry) {
        const LeaseRow &Lease = Entry.second.Lease;
        return Lease.State == LeaseState::Live && Lease.Witnesses.empty();
      });
}

std::vector<InstanceId>
InstanceDirectory::receivers(const std::string &Service,
                             const InstanceId &Excluded) const {
  std::vector<std::pair<double, InstanceId>> Ranked;

  for (const auto &[Id, Entry] : this->Instances) {
    bool Eligible = Id != Excluded && Entry.live() && Entry.Holding.Accepting &&
                    Entry.Holding.Service == Service;
    if (Eligible) {
      double Capacity = std::max<std::uint32_t>(Entry.Holding.Capacity, 1);
      double Slots = static_cast<double>(countSlots(Entry.Holding.Slots));
      Ranked.emplace_back(Slots / Capacity, Id);
    }
  }

  std::sort(Ranked.begin(), Ranked.end());

  std::vector<InstanceId> Result;
  for (auto &[Rank, Id] : Ranked) {
    Result.push_back(std::move(Id));
  }
  return Result;
}

} // namespace hemlockspar
