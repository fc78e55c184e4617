#include "core/Clock.h"

#include <ctime>

namespace hemlockspar {

BootClock::time_point BootClock::now() {
  timespec Spec{};
  clock_gettime(CLOCK_BOOTTIME, &Spec);

  return time_point(std::chrono::seconds(Spec.tv_sec) +
                    std::chrono::nanoseconds(Spec.tv_nsec));
}

TimePoint BootTimeClock::now() const { return BootClock::now(); }

long long toMilliseconds(Duration Span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Span).count();
}

} // namespace hemlockspar
