#pragma once

#include "coordination/RowCache.h"
#include "coordination/Timing.h"

#include <functional>
#include <map>

namespace hemlockspar {

/// Calls to the table service. Each is answered exactly once, through
/// TableClient::onCommitResult or onRead.
class TableActions {
public:
  virtual ~TableActions() = default;

  /// Starts \p Transaction; \p Call identifies it in the answer.
  virtual void commit(std::uint64_t Call,
                      const TableTransaction &Transaction) = 0;

  /// Starts a read of all changes after \p Since.
  virtual void readTable(RowVersion Since) = 0;
};

/// Keeps the row cache up to date with the table and tracks transactions
/// whose answer is outstanding. Performs no I/O.
class TableClient {
public:
  using CommitCallback =
      std::function<void(const CommitResult &Result, TimePoint Now)>;

  TableClient(RowCache &Cache, TableActions &Actions, Timing Times);

  /// Starts a transaction; \p OnDone is called once. If the transaction is
  /// known to have been committed, its writes are in the cache by then.
  void commit(const TableTransaction &Transaction, CommitCallback OnDone);

  void onCommitResult(std::uint64_t Call, const CommitResult &Result,
                      TimePoint Now);

  /// Requests a read of the table as soon as none is outstanding. Returns its
  /// number, for hasCompletedRead.
  std::uint64_t requestRead();

  /// Whether read \p Number or a later one has been answered.
  bool hasCompletedRead(std::uint64_t Number) const {
    return this->CompletedRead >= Number;
  }

  /// \p Batch is nothing when the read failed.
  void onRead(const std::optional<RowBatch> &Batch, TimePoint Now);

  /// Starts a read when one is due. \p Fast selects Timing::FastReadInterval.
  void tick(TimePoint Now, bool Fast);

  /// Whether a read that began after \p Moment has been completed.
  bool hasReadSince(TimePoint Moment) const;

  /// Whether the most recently completed table call was answered.
  bool healthy() const { return this->Healthy; }

private:
  RowCache &Cache;
  TableActions &Actions;
  Timing Times;

  std::uint64_t LastCall = 0;
  std::map<std::uint64_t, std::pair<TableTransaction, CommitCallback>>
      Outstanding;

  bool ReadRequested = true;
  bool ReadOutstanding = false;
  std::uint64_t LastRead = 0;
  std::uint64_t CompletedRead = 0;
  TimePoint ReadStartedAt;
  TimePoint NextReadAt;
  std::optional<TimePoint> CompletedReadStartedAt;
  bool Healthy = false;
};

} // namespace hemlockspar
