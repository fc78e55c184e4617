#pragma once

#include "coordination/RowCache.h"
#include "coordination/Rows.h"
#include "core/Clock.h"

#include <map>

namespace hemlockspar {

/// The parsed lease and holding rows of all instances. Updated from the row
/// cache.
class InstanceDirectory {
public:
  struct Instance {
    LeaseRow Lease;
    RowVersion LeaseVersion = 0;

    /// When this version of the lease row became known here.
    TimePoint LeaseObservedAt;

    HoldingRow Holding;
    RowVersion HoldingVersion = 0;

    /// Whether the lease is live and the holding row is of the same epoch.
    bool live() const;
  };

  /// Applies a changed row. Rows of other kinds are ignored; a row that cannot
  /// be parsed is logged and ignored.
  void onRow(const TableRow &Row, TimePoint Now);

  /// Null when no row of the instance is known.
  const Instance *find(const InstanceId &Id) const;

  const std::map<InstanceId, Instance> &instances() const {
    return this->Instances;
  }

  /// Number of live instances.
  std::size_t liveCount() const;

  /// Whether any live lease has no witnesses and so is renewed in the table.
  bool anyLeaseRenewedInTable() const;

  /// Live instances of \p Service that accept slots, without \p Excluded,
  /// those with the fewest slots for their capacity first.
  std::vector<InstanceId> receivers(const std::string &Service,
                                    const InstanceId &Excluded) const;

private:
  std::map<InstanceId, Instance> Instances;
};

} // namespace hemlockspar
