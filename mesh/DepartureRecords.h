#pragma once

#include "mesh/InstanceRow.h"

#include <map>
#include <optional>
#include <vector>

namespace hemlockspar {

/// Departures of other instances' backend servers that this process keeps on
/// their daemons' behalf. A departure is the announcement of a shutdown; an
/// incarnation that has announced one never becomes ready again. Free of I/O;
/// lives as long as the process.
class DepartureRecords {
public:
  /// Records that \p Left, the backend server of \p Instance, has departed.
  /// Returns false when the record is refused, as there are too many.
  bool add(const InstanceId &Instance, const ServerIncarnation &Left);

  /// The newest backend server of \p Instance that is known to have departed.
  std::optional<ServerIncarnation> find(const InstanceId &Instance) const;

private:
  std::map<InstanceId, ServerIncarnation> Newest;
};

/// The instances that keep departures of \p Instance: the same ones on every
/// daemon as long as \p Known has the same instances. Fewer than usual when
/// \p Known is small.
std::vector<InstanceId>
selectDepartureWitnesses(const std::map<InstanceId, InstanceRow> &Known,
                         const InstanceId &Instance);

/// Number of \p Witnesses that must have confirmed a departure before it is
/// acknowledged.
std::size_t departureWriteQuorum(std::size_t Witnesses);

/// Number of \p Witnesses that must have answered a query for departures: any
/// so many include one that has confirmed.
std::size_t departureReadQuorum(std::size_t Witnesses);

} // namespace hemlockspar
