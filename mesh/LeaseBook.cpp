#include "mesh/LeaseBook.h"

namespace hemlockspar {

void LeaseBook::take(const StoreRows &Read) {
  this->ReadAt = Read.StoreClock;
  this->Leases.clear();

  for (const TableRow &Row : Read.Rows) {
    auto Parsed = Row.Value ? KeyLease::fromText(*Row.Value) : std::nullopt;
    if (Parsed) {
      InstanceId Holder = Row.Key.substr(Row.Key.find('/') + 1);
      this->Leases[Holder] = {*Parsed, Row.Version};
    }
  }
}

std::optional<double> LeaseBook::loadIfLive(const InstanceId &Holder,
                                            Duration StoreTime) const {
  auto Held = this->Leases.find(Holder);
  bool Live = Held != this->Leases.end() && Held->second.Row.Until > StoreTime;
  return Live ? std::optional(Held->second.Row.Load) : std::nullopt;
}

void LeaseBook::setLoad(const InstanceId &Holder, double Load) {
  auto Held = this->Leases.find(Holder);
  if (Held != this->Leases.end()) {
    Held->second.Row.Load = Load;
  }
}

bool LeaseBook::hasEnded(const InstanceId &Holder) const {
  auto Held = this->Leases.find(Holder);
  return Held != this->Leases.end() && this->ReadAt &&
         Held->second.Row.Until < *this->ReadAt;
}

void LeaseBook::close(const InstanceId &Holder, TableTransaction &Write) const {
  std::string Key = KeyLease::key(Holder);
  Write.Conditions.push_back({Key, this->Leases.at(Holder).Version});
  Write.Writes.push_back({Key, KeyLease::ended().toText()});
}

} // namespace hemlockspar
