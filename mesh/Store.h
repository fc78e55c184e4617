#pragma once

#include "coordination/Table.h"
#include "core/Clock.h"

#include <functional>

namespace hemlockspar {

/// Which table a row key belongs to: keys begin with "<table>/".
namespace tables {
/// Written by operators only.
inline constexpr char Operator[] = "op";

/// Instances; every daemon follows it.
inline constexpr char Instances[] = "hemlockspar";

/// Owners of keys, a row a service; followed by those who own keys. Others
/// read it now and then, and are told of moved keys by the owners before.
inline constexpr char Keys[] = "hemlockspar-keys";

/// Leases; read when needed, since they change every few seconds.
inline constexpr char Leases[] = "hemlockspar-leases";
} // namespace tables

/// The key of row \p Name in \p Table.
std::string rowKey(const std::string &Table, const std::string &Name);

/// What is known of a transaction, and the store's clock when it answered.
struct StoreCommit {
  CommitResult Result;

  /// On a conflict: the rows of the conditions as they are, where the store
  /// tells them.
  std::vector<TableRow> Current;

  /// The store's own steady clock; nothing when there was no answer.
  std::optional<Duration> StoreClock;
};

/// Rows of one table. Complete: all rows of it; otherwise the rows that
/// changed after the version that was asked for.
struct StoreRows {
  std::string Table;
  RowVersion Version = 0;
  bool Complete = false;
  std::vector<TableRow> Rows;
  std::optional<Duration> StoreClock;
};

/// How following a table went.
enum class FollowOutcome {
  /// Rows holds what changed; perhaps nothing.
  Changes,
  /// The history asked for is gone: read the table as a whole.
  HistoryLost,
  /// No answer, or the store does not serve now.
  Failed,
};

struct FollowResult {
  FollowOutcome Outcome = FollowOutcome::Failed;
  StoreRows Rows;
};

/// The platform's store of versioned rows with conditional transactions. Keys
/// of rows name their table (see rowKey). Each callback is called once, also
/// when no answer comes, and on the thread of the caller.
class Store {
public:
  using CommitCallback = std::function<void(const StoreCommit &Commit)>;
  using ReadCallback =
      std::function<void(const std::optional<StoreRows> &Rows)>;
  using FollowCallback = std::function<void(const FollowResult &Result)>;

  virtual ~Store() = default;

  /// Runs a transaction.
  virtual void commit(const TableTransaction &Transaction,
                      CommitCallback OnDone) = 0;

  /// Reads all rows of \p Table as of one moment.
  virtual void readTable(const std::string &Table, ReadCallback OnDone) = 0;

  /// Waits up to \p Wait for changes of \p Table after version \p After.
  virtual void follow(const std::string &Table, RowVersion After, Duration Wait,
                      FollowCallback OnDone) = 0;
};

} // namespace hemlockspar
