#pragma once

#include "core/Clock.h"

namespace hemlockspar {

/// How long work takes on a server's machine at this moment, relative to the
/// usual time. Answers the load pattern of machines that are slow for moments,
/// since others work on them as well: such a moment decides the next few
/// choices and expected waits only, while the speed of a server decides its
/// share of the requests and its number of keys. Performs no I/O.
class ServerPace {
public:
  /// The server has stated \p Pace, 1 being as usual. Values that no machine
  /// can have are ignored.
  void record(double Pace, TimePoint Now);

  /// The pace at \p Now; 1 when none is known that is recent enough.
  double factor(TimePoint Now) const;

  /// As factor, but 0 instead of 1 when it is not known.
  double known(TimePoint Now) const;

private:
  double Newest = 0;
  TimePoint RecordedAt{};
};

/// How long a stated pace remains valid: it changes several times per second.
inline constexpr Duration MaxPaceAge = std::chrono::milliseconds(300);

} // namespace hemlockspar
