#include "mesh/CountingStore.h"

namespace hemlockspar {

CountingStore::CountingStore(std::unique_ptr<Store> Wrapped,
                             MeshMetrics &Counters)
    : Wrapped(std::move(Wrapped)), Counters(Counters) {}

void CountingStore::commit(const TableTransaction &Transaction,
                           CommitCallback OnDone) {
  // The last row written identifies the transaction's table.
  std::string Key =
      Transaction.Writes.empty() ? "" : Transaction.Writes.back().Key;
  this->Counters.onStoreCall("commit", Key.substr(0, Key.find('/')));
  this->Wrapped->commit(Transaction, std::move(OnDone));
}

void CountingStore::readTable(const std::string &Table, ReadCallback OnDone) {
  this->Counters.onStoreCall("read", Table);
  this->Wrapped->readTable(Table, std::move(OnDone));
}

void CountingStore::follow(const std::string &Table, RowVersion After,
                           Duration Wait, FollowCallback OnDone) {
  this->Counters.onStoreCall("follow", Table);
  if (Table != tables::Operator || Wait > Duration::zero()) {
    this->Wrapped->follow(Table, After, Wait, std::move(OnDone));
    return;
  }

  TimePoint SentAt = BootClock::now();
  this->Wrapped->follow(
      Table, After, Wait,
      [this, SentAt, OnDone = std::move(OnDone)](const FollowResult &Result) {
        this->Counters.recordConfigurationCheck(
            Result.Outcome != FollowOutcome::Failed, BootClock::now() - SentAt);
        OnDone(Result);
      });
}

} // namespace hemlockspar
