#pragma once

#include "coordination/Identity.h"

#include <optional>
#include <string>
#include <vector>

namespace hemlockspar {

/// A row of the table service with the version at which it was last written.
struct TableRow {
  std::string Key;
  RowVersion Version = 0;

  /// Empty when the row has been deleted.
  std::optional<std::string> Value;
};

/// All changes of the table after version Since and up to version Upto. A batch
/// that does not claim to hold all changes has Since greater than Upto.
struct RowBatch {
  RowVersion Since = 0;
  RowVersion Upto = 0;
  std::vector<TableRow> Rows;
};

/// Holds when the row \p Key was last written at \p Version (zero: absent).
struct RowCondition {
  std::string Key;
  RowVersion Version = 0;
};

/// Writes one row; without a value it deletes the row.
struct RowWrite {
  std::string Key;
  std::optional<std::string> Value;
};

/// Either all writes take effect, at one version, or none does.
struct TableTransaction {
  std::vector<RowCondition> Conditions;
  std::vector<RowWrite> Writes;
};

/// Outcome of a transaction as far as the client knows. Unknown: it may have
/// taken effect, or may do so later.
enum class CommitOutcome { Committed, Conflict, Unknown, NotRun };

/// Name of \p Outcome for logs.
const char *nameOf(CommitOutcome Outcome);

/// Answer to a transaction; Version is set when it was committed.
struct CommitResult {
  CommitOutcome Outcome = CommitOutcome::Unknown;
  RowVersion Version = 0;
};

/// The rows that \p Transaction wrote, given that it committed at \p Version.
RowBatch writtenRows(const TableTransaction &Transaction, RowVersion Version);

} // namespace hemlockspar
