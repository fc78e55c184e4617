#pragma once

#include "coordination/Table.h"

#include <functional>
#include <map>

namespace hemlockspar {

/// A daemon's local copy of the table: the newest known version of each row,
/// and the version up to which every change is known. Versions never decrease.
class RowCache {
public:
  /// Called for every row that was replaced by a newer version.
  using Listener = std::function<void(const TableRow &Row)>;

  void setListener(Listener OnChange) { this->OnChange = std::move(OnChange); }

  /// Applies newer rows and, if the batch has no gap to the complete version,
  /// raises that version.
  void apply(const RowBatch &Batch);

  /// The version up to which every change is in the cache.
  RowVersion completeVersion() const { return this->Complete; }

  /// The row, or null when it is not known. A deleted row has no value.
  const TableRow *find(const std::string &Key) const;

  /// Version of the row \p Key for use in a condition: zero when the row is
  /// absent or deleted.
  RowVersion versionOf(const std::string &Key) const;

  /// All rows, existing ones only, whose key starts with \p Prefix.
  std::vector<const TableRow *> withPrefix(const std::string &Prefix) const;

  /// All changes after \p Since in the cache.
  RowBatch changesSince(RowVersion Since) const;

private:
  void applyRow(const TableRow &Row);

  std::map<std::string, TableRow> Rows;
  RowVersion Complete = 0;
  Listener OnChange;
};

} // namespace hemlockspar
