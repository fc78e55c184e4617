#include "mesh/CountingStore.h"

namespace hemlockspar {

CountingStore::CountingStore(std::unique_ptr<Store> Counted,
                             MeshMetrics &Counters)
    : Counted(std::move(Counted)), Counters(Counters) {}

void CountingStore::commit(const TableTransaction &Transaction,
                           CommitDone OnDone) {
  // The last row written is the one that the transaction is about.
  std::string Key =
      Transaction.Writes.empty() ? "" : Transaction.Writes.back().Key;
  this->Counters.onStoreCall("commit", Key.substr(0, Key.find('/')));
  this->Counted->commit(Transaction, std::move(OnDone));
}

void CountingStore::readTable(const std::string &Table, ReadDone OnDone) {
  this->Counters.onStoreCall("read", Table);
  this->Counted->readTable(Table, std::move(OnDone));
}

void CountingStore::follow(const std::string &Table, RowVersion After,
                           Duration Wait, FollowDone OnDone) {
  this->Counters.onStoreCall("follow", Table);
  this->Counted->follow(Table, After, Wait, std::move(OnDone));
}

} // namespace hemlockspar
