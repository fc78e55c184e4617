#pragma once

#include "core/Clock.h"

#include <cstdint>

namespace hemlockspar {

/// Admits large bodies to one direction of this machine's link. Answers the
/// load pattern of uploads that arrive faster than the link carries them:
/// without a limit they queue in the network, and every small request to this
/// machine waits behind them until it is useless. Only a share of the link is
/// given to large bodies. Free of I/O.
class LinkBudget {
public:
  /// \p BytesPerSecond is the rate of the link; 0 means that it is not limited.
  explicit LinkBudget(double BytesPerSecond);

  /// Time until a body that is admitted at \p Now starts to arrive, as those
  /// admitted before it come first.
  Duration expectedWait(TimePoint Now) const;

  /// Time that a body of \p Bytes takes to arrive.
  Duration transferTime(std::uint64_t Bytes) const;

  /// Records that a body of \p Bytes is admitted.
  void admit(std::uint64_t Bytes, TimePoint Now);

private:
  double BytesPerSecond;

  /// When the bodies admitted so far will have arrived.
  TimePoint BusyUntil;
};

/// Bodies of requests and responses that are larger than this leave for other
/// daemons one by one.
inline constexpr std::uint64_t LargeBodyBytes = 16 << 10;

} // namespace hemlockspar
