#include "coordination/TableClient.h"

#include "core/ErrorMacros.h"

namespace hemlockspar {

TableClient::TableClient(RowCache &Cache, TableActions &Actions, Timing Times)
    : Cache(Cache), Actions(Actions), Times(Times) {}

void TableClient::commit(const TableTransaction &Transaction,
                         CommitCallback OnDone) {
  std::uint64_t Call = ++this->LastCall;
  this->Outstanding[Call] = {Transaction, std::move(OnDone)};
  this->Actions.commit(Call, Transaction);
}

void TableClient::onCommitResult(std::uint64_t Call, const CommitResult &Result,
                                 TimePoint Now) {
  auto It = this->Outstanding.find(Call);
  HS_FAIL_COND(It == this->Outstanding.end());

  auto [Transaction, OnDone] = std::move(It->second);
  this->Outstanding.erase(It);

  bool Answered = Result.Outcome == CommitOutcome::Committed ||
                  Result.Outcome == CommitOutcome::Conflict;
  this->Healthy = Answered;

  if (Result.Outcome == CommitOutcome::Committed) {
    this->Cache.apply(writtenRows(Transaction, Result.Version));
  } else if (Result.Outcome != CommitOutcome::NotRun) {
    this->requestRead();
  }

  OnDone(Result, Now);
}

void TableClient::onRead(const std::optional<RowBatch> &Batch, TimePoint Now) {
  this->ReadOutstanding = false;
  this->Healthy = Batch.has_value();

  if (!Batch) {
    this->ReadRequested = true;
    this->NextReadAt = Now + this->Times.TableRetryDelay;
    return;
  }

  this->CompletedRead = this->LastRead;
  this->CompletedReadStartedAt = this->ReadStartedAt;
  this->Cache.apply(*Batch);
}

void TableClient::tick(TimePoint Now, bool Fast) {
  Duration Interval =
      Fast ? this->Times.FastReadInterval : this->Times.ReadInterval;
  bool Due = Now - this->ReadStartedAt >= Interval || this->ReadRequested;
  if (this->ReadOutstanding || !Due || Now < this->NextReadAt) {
    return;
  }

  this->ReadOutstanding = true;
  this->ReadRequested = false;
  this->ReadStartedAt = Now;
  ++this->LastRead;
  this->Actions.readTable(this->Cache.completeVersion());
}

std::uint64_t TableClient::requestRead() {
  this->ReadRequested = true;
  return this->LastRead + 1;
}

bool TableClient::hasReadSince(TimePoint Moment) const {
  return this->CompletedReadStartedAt && *this->CompletedReadStartedAt > Moment;
}

} // namespace hemlockspar
