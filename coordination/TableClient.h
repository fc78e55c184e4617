#pragma once

#include "coordination/RowCache.h"
#include "coordination/Timing.h"

#include <functional>
#include <map>

namespace hemlockspar {

/// What the coordination parts ask of the table service. The answers come
/// back through TableCaller::onCommitResult and onRead, always exactly one.
class TableActions {
public:
  virtual ~TableActions() = default;

  /// Starts \p Transaction; \p Call names it in the answer.
  virtual void commit(std::uint64_t Call,
                      const TableTransaction &Transaction) = 0;

  /// Starts a read of all changes after \p Since.
  virtual void readTable(RowVersion Since) = 0;
};

/// Keeps the row cache up to date with the table and tracks transactions
/// whose answer is outstanding. Free of I/O.
class TableClient {
public:
  using CommitCallback =
      std::function<void(const CommitResult &Result, TimePoint Now)>;

  TableClient(RowCache &Cache, TableActions &Actions, Timing Times);

  /// Starts a transaction; \p OnDone is called once. What it wrote is in the
  /// cache by then if it is known to have been committed.
  void commit(const TableTransaction &Transaction, CommitCallback OnDone);

  void onCommitResult(std::uint64_t Call, const CommitResult &Result,
                      TimePoint Now);

  /// Asks for a read of the table as soon as none is outstanding. Returns its
  /// number, for hasCompleted.
  std::uint64_t requestRead();

  /// Whether read \p Number or a later one has been answered.
  bool hasCompletedRead(std::uint64_t Number) const {
    return this->CompletedRead >= Number;
  }

  /// \p Batch is nothing when the read failed.
  void onRead(const std::optional<RowBatch> &Batch, TimePoint Now);

  /// Reads when due. \p Fast asks for Timing::FastReadInterval.
  void tick(TimePoint Now, bool Fast);

  /// Whether a read that began after \p Moment has been completed.
  bool hasReadSince(TimePoint Moment) const;

  /// Whether the latest table call that ended was answered.
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
