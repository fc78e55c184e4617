#pragma once

#include "coordination/RowCache.h"
#include "coordination/Rows.h"
#include "core/Clock.h"

#include <map>

namespace hemlockspar {

/// The lease and holding rows of all instances, read into types. Follows the
/// row cache.
class InstanceDirectory {
public:
  struct Instance {
    LeaseRow Lease;
    RowVersion LeaseVersion = 0;

    /// When this version of the lease row became known here.
    TimePoint LeaseObservedAt;

    HoldingRow Holding;
    RowVersion HoldingVersion = 0;

    /// Whether the lease is live and the holding row belongs to its life.
    bool live() const;
  };

  /// Takes in a changed row. Rows of other kinds are passed over; a row that
  /// cannot be read is logged and passed over.
  void onRow(const TableRow &Row, TimePoint Now);

  /// Null when the instance was never heard of.
  const Instance *find(const InstanceId &Id) const;

  const std::map<InstanceId, Instance> &instances() const {
    return this->Instances;
  }

  /// Number of live instances.
  std::size_t liveCount() const;

  /// Whether some live lease is kept in the table, without witnesses.
  bool anyLeaseRenewedInTable() const;

  /// Live instances of \p Service that accept slots, without \p Excluded,
  /// those with the fewest slots for their capacity first.
  std::vector<InstanceId> receivers(const std::string &Service,
                                    const InstanceId &Excluded) const;

private:
  std::map<InstanceId, Instance> Instances;
};

} // namespace hemlockspar
