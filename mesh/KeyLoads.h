#pragma once

#include "mesh/ServerReport.h"

#include <map>

namespace hemlockspar {

/// Load of each key on the backend server, in slots, averaged over the last
/// seconds. Keys are tracked one by one, since a few adjacent keys may carry a
/// third of all requests and a range must be split between them. Free of I/O.
class KeyLoads {
public:
  /// Records a request for \p Key that occupied a slot for \p Busy.
  void record(KeyNumber Key, Duration Busy, TimePoint Now);

  /// Load of the keys in \p Range, in slots.
  double loadOf(const KeyRange &Range, TimePoint Now) const;

  /// Load of all keys, in slots.
  double total(TimePoint Now) const;

  /// The largest range at the end of \p Range (at its start when \p FromStart)
  /// whose load is at most \p Load, in slots; nothing when that is empty or all
  /// of \p Range.
  std::optional<KeyRange> findEdgeRange(const KeyRange &Range, double Load,
                                        bool FromStart, TimePoint Now) const;

  /// Removes keys whose load has decayed to almost nothing, such as keys that
  /// are no longer owned.
  void prune(TimePoint Now);

private:
  struct DecayedLoad {
    double BusySeconds = 0;
    TimePoint UpdatedAt;
  };

  static double loadAt(const DecayedLoad &Measured, TimePoint Now);

  std::map<KeyNumber, DecayedLoad> Keys;
};

} // namespace hemlockspar
