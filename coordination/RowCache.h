#pragma once

#include "coordination/Table.h"

#include <functional>
#include <map>

namespace hemlockspar {

/// A daemon's copy of the table: the newest version of each row it has heard
/// of, and the version up to which it has heard of every change. Versions
/// never go back.
class RowCache {
public:
  /// Called for every row that became newer.
  using Listener = std::function<void(const TableRow &Row)>;

  void setListener(Listener OnChange) { this->OnChange = std::move(OnChange); }

  /// Takes in rows and, where the batch joins on, raises the complete version.
  void apply(const RowBatch &Batch);

  /// Every change up to this version is here.
  RowVersion completeVersion() const { return this->Complete; }

  /// The row, or null when it was never seen. A deleted row has no value.
  const TableRow *find(const std::string &Key) const;

  /// Version of the row \p Key as a condition needs it: zero when the row is
  /// absent or deleted.
  RowVersion versionOf(const std::string &Key) const;

  /// All rows, existing ones only, whose key starts with \p Prefix.
  std::vector<const TableRow *> withPrefix(const std::string &Prefix) const;

  /// Every change after \p Since known here.
  RowBatch changesSince(RowVersion Since) const;

private:
  void applyRow(const TableRow &Row);

  std::map<std::string, TableRow> Rows;
  RowVersion Complete = 0;
  Listener OnChange;
};

} // namespace hemlockspar
