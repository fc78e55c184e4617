#include "coordination/Transfers.h"

#include "core/ErrorMacros.h"

#include <algorithm>

namespace hemlockspar {

void writeAt(TableTransaction &Transaction, const std::string &Key,
             RowVersion Version, std::string Value) {
  Transaction.Conditions.push_back({Key, Version});
  Transaction.Writes.push_back({Key, std::move(Value)});
}

Transfers::Transfers(const Directory &Known, const RowCache &Cache)
    : Known(Known), Cache(Cache) {}

TableTransaction
Transfers::takeover(const InstanceId &Lost,
                    const std::vector<InstanceId> &Receivers) const {
  TableTransaction Transaction;
  const Directory::Instance *Holder = this->Known.find(Lost);
  HS_FAIL_COND_V(!Holder, Transaction);

  LeaseRow Ended = Holder->Lease;
  Ended.State = LeaseState::Expired;
  Ended.Life += 1;
  Ended.Witnesses.clear();
  Ended.PreviousVersion = 0;
  Ended.PreviousWitnesses.clear();
  writeAt(Transaction, leaseKey(Lost), Holder->LeaseVersion, Ended.toText());

  HoldingRow Emptied = Holder->Holding;
  Emptied.Life = Ended.Life;
  Emptied.Accepting = false;
  Emptied.Slots.clear();
  writeAt(Transaction, holdingKey(Lost), Holder->HoldingVersion,
          Emptied.toText());

  if (Receivers.empty()) {
    this->returnToPools(Holder->Holding.Slots, Holder->Holding.Service,
                        Transaction);
  } else {
    this->distribute(Holder->Holding.Slots, Receivers, Transaction);
  }

  return Transaction;
}

TableTransaction Transfers::takeoverBySelf(const InstanceId &Self,
                                           LeaseRow Fresh) const {
  TableTransaction Transaction;
  const Directory::Instance *Earlier = this->Known.find(Self);
  HS_FAIL_COND_V(!Earlier, Transaction);

  Fresh.Life = Earlier->Lease.Life + 1;
  writeAt(Transaction, leaseKey(Self), Earlier->LeaseVersion, Fresh.toText());

  HoldingRow Kept = Earlier->Holding;
  Kept.Life = Fresh.Life;
  Kept.Slots.clear();

  for (const auto &[Keyspace, Grants] : Earlier->Holding.Slots) {
    for (SlotGrant Grant : Grants) {
      Kept.Slots[Keyspace].add({Grant.Slot, Grant.Token + 1});
    }
  }

  writeAt(Transaction, holdingKey(Self), Earlier->HoldingVersion,
          Kept.toText());
  return Transaction;
}

TableTransaction
Transfers::handover(const InstanceId &From, const SlotsByKeyspace &Slots,
                    const std::vector<InstanceId> &Receivers) const {
  TableTransaction Transaction;
  const Directory::Instance *Owner = this->Known.find(From);
  HS_FAIL_COND_V(!Owner, Transaction);

  HoldingRow Left = Owner->Holding;
  SlotsByKeyspace Moved;

  for (const auto &[Keyspace, Grants] : Slots) {
    for (const SlotGrant &Grant : Grants) {
      if (auto Token = Left.Slots[Keyspace].remove(Grant.Slot)) {
        Moved[Keyspace].add({Grant.Slot, *Token});
      }
    }
  }

  writeAt(Transaction, holdingKey(From), Owner->HoldingVersion, Left.toText());

  if (Receivers.empty()) {
    this->returnToPools(Moved, Left.Service, Transaction);
  } else {
    this->distribute(Moved, Receivers, Transaction);
  }

  return Transaction;
}

TableTransaction Transfers::claim(const std::string &Keyspace,
                                  const InstanceId &Receiver,
                                  std::size_t Count) const {
  TableTransaction Transaction;
  const Directory::Instance *Owner = this->Known.find(Receiver);
  const TableRow *Row = this->Cache.find(poolKey(Keyspace));
  HS_FAIL_COND_V(!Owner || !Row || !Row->Value, Transaction);

  auto Pool = PoolRow::fromText(*Row->Value);
  HS_FAIL_COND_V(!Pool, Transaction);

  HoldingRow Grown = Owner->Holding;
  SlotGrants Left = Pool->Slots;

  for (const SlotGrant &Grant : Pool->Slots) {
    if (Count == 0) {
      break;
    }
    Left.remove(Grant.Slot);
    Grown.Slots[Keyspace].add({Grant.Slot, Grant.Token + 1});
    --Count;
  }

  Pool->Slots = Left;
  writeAt(Transaction, poolKey(Keyspace), Row->Version, Pool->toText());
  writeAt(Transaction, holdingKey(Receiver), Owner->HoldingVersion,
          Grown.toText());
  return Transaction;
}

void Transfers::distribute(const SlotsByKeyspace &Slots,
                           const std::vector<InstanceId> &Receivers,
                           TableTransaction &Transaction) const {
  std::vector<HoldingRow> Grown;
  std::vector<double> SlotsPerCapacity;

  for (const InstanceId &Receiver : Receivers) {
    const HoldingRow &Holding = this->Known.find(Receiver)->Holding;
    double Capacity = std::max<std::uint32_t>(Holding.Capacity, 1);
    Grown.push_back(Holding);
    SlotsPerCapacity.push_back(static_cast<double>(countSlots(Holding.Slots)) /
                               Capacity);
  }

  for (const auto &[Keyspace, Grants] : Slots) {
    for (const SlotGrant &Grant : Grants) {
      auto Least =
          std::min_element(SlotsPerCapacity.begin(), SlotsPerCapacity.end());
      HoldingRow &Receiver = Grown[Least - SlotsPerCapacity.begin()];

      Receiver.Slots[Keyspace].add({Grant.Slot, Grant.Token + 1});
      *Least += 1.0 / std::max<std::uint32_t>(Receiver.Capacity, 1);
    }
  }

  for (std::size_t Index = 0; Index < Receivers.size(); ++Index) {
    RowVersion Version = this->Known.find(Receivers[Index])->HoldingVersion;
    writeAt(Transaction, holdingKey(Receivers[Index]), Version,
            Grown[Index].toText());
  }
}

void Transfers::returnToPools(const SlotsByKeyspace &Slots,
                              const std::string &Service,
                              TableTransaction &Transaction) const {
  for (const auto &[Keyspace, Grants] : Slots) {
    std::string Key = poolKey(Keyspace);
    const TableRow *Row = this->Cache.find(Key);

    PoolRow Pool;
    if (Row && Row->Value) {
      Pool = PoolRow::fromText(*Row->Value).value_or(PoolRow());
    }

    Pool.Service = Service;
    for (const SlotGrant &Grant : Grants) {
      Pool.Slots.add(Grant);
    }

    writeAt(Transaction, Key, this->Cache.versionOf(Key), Pool.toText());
  }
}

} // namespace hemlockspar
