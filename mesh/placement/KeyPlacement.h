#pragma once

#include "mesh/MeshView.h"

namespace hemlockspar {

/// Which instances may own keys of one service, as of the moment of
/// construction: those in a region where all routes to the service may be
/// served, outside evacuated data centres. Answers the load pattern of a
/// service whose demand stays while operators restrict or empty places: its
/// keys must follow at once, but never go to a place that may not serve them.
/// Where no ready instance meets a condition, the condition is dropped: keys
/// without an owner would be refused everywhere. Performs no I/O.
class KeyPlacement {
public:
  /// \p View must outlive this object.
  KeyPlacement(const MeshView &View, std::string Service);

  /// Whether the instance described by \p Row may own keys of the service.
  bool mayOwn(const InstanceRow &Row) const;

private:
  bool isInAllowedRegion(const InstanceRow &Row) const;
  bool isOutsideEvacuation(const InstanceRow &Row) const;
  bool anyReady(bool CheckRegion, bool CheckEvacuation) const;

  const MeshView &View;
  std::string Service;
  std::optional<std::set<std::string>> Regions;
  bool CheckEvacuation = false;
};

} // namespace hemlockspar
