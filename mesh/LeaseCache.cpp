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
  auto Held = this->Leases.find(Holder);
  bool Live = Held != this->Leases.end() && Held->second.Row.Until > StoreTime;
  return Live ? std::optional(Held->second.Row.Load) : std::nullopt;
}

void LeaseCache::setLoad(const InstanceId &Holder, double Load) {
  auto Held = this->Leases.find(Holder);
  if (Held != this->Leases.end()) {
    Held->second.Row.Load = Load;
  }
}

bool LeaseCache::hasExpired(const InstanceId &Holder) const {
  auto Held = this->Leases.find(Holder);
  return Held != this->Leases.end() && this->ReadStoreTime &&
         Held->second.Row.Until < *this->ReadStoreTime;
}

void LeaseCache::appendClose(const InstanceId &Holder,
                             TableTransaction &Write) const {
  std::string Key = KeyLeaseRow::key(Holder);
  Write.Conditions.push_back({Key, this->Leases.at(Holder).Version});
  Write.Writes.push_back({Key, KeyLeaseRow::closed().toText()});
}

} // namespace hemlockspar
