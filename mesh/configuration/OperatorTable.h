#pragma once

#include "mesh/MeshView.h"
#include "mesh/ReportCodec.h"

namespace hemlockspar {

/// Applies the operators' rows to the view: configurations and evacuations.
/// Free of I/O.
class OperatorTable {
public:
  OperatorTable(MeshView &View, const ConfigurationCodec &Codec);

  /// Applies \p Rows, received at \p Now.
  void apply(const StoreRows &Rows, TimePoint Now);

  /// The newest configuration row that could not be read, until one is read
  /// that is as new.
  const std::optional<RowVersion> &unreadableRow() const {
    return this->UnreadableRow;
  }

  /// Whether the table must be read at \p Now since evacuations are in force
  /// that a restored store had lost, and operators have had time to write them
  /// again.
  bool isReadDue(TimePoint Now) const {
    return this->ReadDueAt && Now >= *this->ReadDueAt;
  }

private:
  void applyEvacuations(const StoreRows &Rows, TimePoint Now);
  void applyConfiguration(const TableRow &Row);

  MeshView &View;
  const ConfigurationCodec &Codec;
  std::optional<RowVersion> UnreadableRow;

  /// The store's era as of the newest read of the table.
  std::optional<std::uint64_t> Era;

  /// Until then a restored store may lack rows that operators write again.
  TimePoint RewrittenAt;
  std::optional<TimePoint> ReadDueAt;
};

} // namespace hemlockspar
