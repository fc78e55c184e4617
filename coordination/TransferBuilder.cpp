#include "coordination/TransferBuilder.h"

#include "core/ErrorMacros.h"

#include <algorithm>

namespace hemlockspar {

void addConditionalWrite(TableTransaction &Transaction, const std::string &Key,
                         RowVersion Version, std::string Value) {
  Transaction.Conditions.push_back({Key, Version});
  Transaction.Writes.push_back({Key, std::move(Value)});
}

TransferBuilder::TransferBuilder(const InstanceDirectory &Directory,
                                 const RowCache &Cache)
    : Directory(Directory), Cache(Cache) {}

TableTransaction
TransferBuilder::takeover(const InstanceId &Lost,
                          const std::vector<InstanceId> &Receivers) const {
  TableTransaction Transaction;
  const InstanceDirectory::Instance *Holder = this->Directory.find(Lost);
  HS_FAIL_COND_V(!Holder, Transaction);

  LeaseRow Ended = Holder->Lease;
  Ended.State = LeaseState::Expired;
  Ended.Epoch += 1;
  Ended.Witnesses.clear();
  Ended.PreviousVersion = 0;
  Ended.PreviousWitnesses.clear();
  addConditionalWrite(Transaction, leaseKey(Lost), Holder->LeaseVersion,
                      Ended.toText());

  HoldingRow Emptied = Holder->Holding;
  Emptied.Epoch = Ended.Epoch;
  Emptied.Accepting = false;
  Emptied.Slots.clear();
  addConditionalWrite(Transaction, holdingKey(Lost), Holder->HoldingVersion,
                      Emptied.toText());

  if (Receivers.empty()) {
    this->returnToPools(Holder->Holding.Slots, Holder->Holding.Service,
                        Transaction);
  } else {
    this->distribute(Holder->Holding.Slots, Receivers, Transaction);
  }

  return Transaction;
}

TableTransaction TransferBuilder::takeoverBySelf(const InstanceId &Self,
                                                 LeaseRow Fresh) const {
  TableTransaction Transaction;
  const InstanceDirectory::Instance *Earlier = this->Directory.find(Self);
  HS_FAIL_COND_V(!Earlier, Transaction);

  Fresh.Epoch = Earlier->Lease.Epoch + 1;
  addConditionalWrite(Transaction, leaseKey(Self), Earlier->LeaseVersion,
                      Fresh.toText());

  HoldingRow Kept = Earlier->Holding;
  Kept.Epoch = Fresh.Epoch;
  Kept.Slots.clear();

  for (const auto &[Keyspace, Grants] : Earlier->Holding.Slots) {
    for (SlotGrant Grant : Grants) {
      Kept.Slots[Keyspace].add({Grant.Slot, Grant.Token + 1});
    }
  }

  addConditionalWrite(Transaction, holdingKey(Self), Earlier->HoldingVersion,
                      Kept.toText());
  return Transaction;
}

TableTransaction
TransferBuilder::handover(const InstanceId &From, const SlotsByKeyspace &Slots,
                          const std::vector<InstanceId> &Receivers) const {
  TableTransaction Transaction;
  const InstanceDirectory::Instance *Owner = this->Directory.find(From);
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

  addConditionalWrite(Transaction, holdingKey(From), Owner->HoldingVersion,
                      Left.toText());

  if (Receivers.empty()) {
    this->returnToPools(Moved, Left.Service, Transaction);
  } else {
    this->distribute(Moved, Receivers, Transaction);
  }

  return Transaction;
}

TableTransaction TransferBuilder::claim(const std::string &Keyspace,
                                        const InstanceId &Receiver,
                                        std::size_t Count) const {
  TableTransaction Transaction;
  const InstanceDirectory::Instance *Owner = this->Directory.find(Receiver);
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
  addConditionalWrite(Transaction, poolKey(Keyspace), Row->Version,
                      Pool->toText());
  addConditionalWrite(Transaction, holdingKey(Receiver), Owner->HoldingVersion,
                      Grown.toText());
  return Transaction;
}

void TransferBuilder::distribute(const SlotsByKeyspace &Slots,
                                 const std::vector<InstanceId> &Receivers,
                                 TableTransaction &Transaction) const {
  std::vector<HoldingRow> Grown;
  std::vector<double> SlotsPerCapacity;

  for (const InstanceId &Receiver : Receivers) {
    const HoldingRow &Holding = this->Directory.find(Receiver)->Holding;
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
    RowVersion Version = this->Directory.find(Receivers[Index])->HoldingVersion;
    addConditionalWrite(Transaction, holdingKey(Receivers[Index]), Version,
                        Grown[Index].toText());
  }
}

void TransferBuilder::returnToPools(const SlotsByKeyspace &Slots,
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

    addConditionalWrite(Transaction, Key, this->Cache.versionOf(Key),
                        Pool.toText());
  }
}

} // namespace hemlockspar
