#pragma once

#include <chrono>

namespace hemlockspar {

/// Monotonic clock of the time since boot, including the time in which the
/// machine is suspended (CLOCK_BOOTTIME).
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;

  static time_point now();
};

using Duration = BootClock::duration;
using TimePoint = BootClock::time_point;

/// Source of the current time, which tests can replace.
class Clock {
public:
  virtual ~Clock() = default;
  virtual TimePoint now() const = 0;
};

/// Clock that reads BootClock.
class BootTimeClock : public Clock {
public:
  TimePoint now() const override;
};

/// Whole milliseconds of \p Span, truncated towards zero.
long long toMilliseconds(Duration Span);

} // namespace hemlockspar
