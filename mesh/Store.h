#pragma once

#include "coordination/Table.h"
#include "core/Clock.h"

#include <functional>

namespace hemlockspar {

/// Tables of the store; a row key begins with "<table>/".
namespace tables {
/// Configurations; written by operators only.
inline constexpr char Operator[] = "op";

/// Instances; followed by every daemon.
inline constexpr char Instances[] = "hemlockspar";

/// Owners of keys, one row per service; followed by instances that own keys.
/// Other instances read it occasionally and learn of moved keys from the
/// previous owners.
inline constexpr char Keys[] = "hemlockspar-keys";

/// Leases; read on demand, since they change every few seconds.
inline constexpr char Leases[] = "hemlockspar-leases";
} // namespace tables

/// Returns the key of row \p Name in \p Table.
std::string rowKey(const std::string &Table, const std::string &Name);

/// Result of a transaction, and the store's clock at the time of the response.
struct StoreCommit {
  CommitResult Result;

  /// On a conflict: the current rows of the conditions, where the store returns
  /// them.
  std::vector<TableRow> Current;

  /// The store's steady clock; empty when there was no response.
  std::optional<Duration> StoreClock;
};

/// Rows of one table: all rows when Complete is set, otherwise the rows that
/// changed after the requested version.
struct StoreRows {
  std::string Table;
  RowVersion Version = 0;
  bool Complete = false;
  std::vector<TableRow> Rows;
  std::optional<Duration> StoreClock;
};

/// Result of a request for changes.
enum class FollowOutcome {
  /// Rows holds the changes, possibly none.
  Changes,
  /// The store no longer has the requested history: read the complete table.
  HistoryLost,
  /// No response, or the store is unavailable.
  Failed,
};

struct FollowResult {
  FollowOutcome Outcome = FollowOutcome::Failed;
  StoreRows Rows;
};

/// The platform's store of versioned rows with conditional transactions. Row
/// keys name their table (see rowKey). Each callback is called exactly once,
/// also when there is no response, and on the caller's thread.
class Store {
public:
  using CommitCallback = std::function<void(const StoreCommit &Commit)>;
  using ReadCallback =
      std::function<void(const std::optional<StoreRows> &Rows)>;
  using FollowCallback = std::function<void(const FollowResult &Result)>;

  virtual ~Store() = default;

  virtual void commit(const TableTransaction &Transaction,
                      CommitCallback OnDone) = 0;

  /// Reads a consistent snapshot of all rows of \p Table.
  virtual void readTable(const std::string &Table, ReadCallback OnDone) = 0;

  /// Waits up to \p Wait for changes of \p Table after version \p After. A
  /// call without a wait is a check: its answer must not be held up by one path
  /// to the store.
  virtual void follow(const std::string &Table, RowVersion After, Duration Wait,
                      FollowCallback OnDone) = 0;
};

} // namespace hemlockspar
