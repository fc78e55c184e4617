#pragma once

#include "core/Clock.h"

#include <algorithm>
#include <cstddef>

namespace hemlockspar {

/// Number of daemons up to which intervals between calls to the store are not
/// stretched.
inline constexpr std::size_t ReferenceFleetSize = 60;

/// Stretches \p Interval, the time between two calls of one daemon to the
/// store, in a fleet of \p Daemons, up to \p Max. Beyond the reference size the
/// total rate of calls then no longer grows with the fleet: with more daemons,
/// the newest state is more often known to a peer, and the loss of an instance
/// is noticed by whichever daemon reads next.
inline Duration stretchInterval(Duration Interval, std::size_t Daemons,
                                Duration Max) {
  double Factor = std::max(1.0, static_cast<double>(Daemons) /
                                    static_cast<double>(ReferenceFleetSize));
  auto Stretched = std::chrono::duration_cast<Duration>(Interval * Factor);
  return std::max(Interval, std::min(Stretched, Max));
}

} // namespace hemlockspar
