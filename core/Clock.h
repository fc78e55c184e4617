#pragma once

#include <chrono>

namespace hemlockspar {

/// A clock that counts from the machine's start, also while the machine is
/// suspended. Never set back.
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

/// Source of the present time; tests put their own in its place.
class Clock {
public:
  virtual ~Clock() = default;
  virtual TimePoint now() const = 0;
};

/// The machine's boot-time clock.
class BootTimeClock : public Clock {
public:
  TimePoint now() const override;
};

/// Whole milliseconds of \p Span, rounded down.
long long toMilliseconds(Duration Span);

} // namespace hemlockspar
