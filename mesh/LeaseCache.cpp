#include "mesh/LeaseCache.h"

namespace hemlockspar {

void LeaseCache::replaceAll(const StoreRows &Read) {
  this->ReadStoreTime = Read.StoreClock;
  this->Leases.clear();

  for (const TableRow &Row : Read.Rows) {
    auto Parsed = Row.Value ? KeyLeaseRow::fromText(*Row.Value) : std::nullopt;
    if (Parsed) {
      InstanceId Holder = Row.Key.substr(Row.Key.find('/') + 1);
      this->Leases[Holder] = {*Parsed, Row.Version};
    }
  }
}

std::optional<double> LeaseCache::loadIfActive(const InstanceId &Holder,
                                               Duration StoreTime) const {
  auto Found = this->Leases.find(Holder);
  bool Active =
      Found != this->Leases.end() && Found->second.Row.Until > StoreTime;
  return Active ? std::optional(Found->second.Row.Load) : std::nullopt;
}

void LeaseCache::setLoad(const InstanceId &Holder, double Load) {
  auto Found = this->Leases.find(Holder);
  if (Found != this->Leases.end()) {
    Found->second.Row.Load = Load;
  }
}

bool LeaseCache::hasExpired(const InstanceId &Holder) const {
  auto Found = this->Leases.find(Holder);
  return Found != this->Leases.end() && this->ReadStoreTime &&
         Found->second.Row.Until < *this->ReadStoreTime;
}

void LeaseCache::appendClose(const InstanceId &Holder,
                             TableTransaction &Write) const {
  std::string Key = KeyLeaseRow::key(Holder);
  Write.Conditions.push_back({Key, this->Leases.at(Holder).Version});
  Write.Writes.push_back({Key, KeyLeaseRow::closed().toText()});
}

} // namespace hemlockspar
