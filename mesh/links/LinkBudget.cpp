#include "mesh/links/LinkBudget.h"

#include <algorithm>

namespace hemlockspar {

namespace {

/// Share of the link that large bodies may use; the rest is for small requests,
/// responses and the traffic of the daemons.
constexpr double LargeBodyShare = 0.7;

} // namespace

LinkBudget::LinkBudget(double BytesPerSecond)
    : BytesPerSecond(BytesPerSecond * LargeBodyShare) {}

Duration LinkBudget::expectedWait(TimePoint Now) const {
  return std::max<Duration>(this->BusyUntil - Now, Duration::zero());
}

Duration LinkBudget::transferTime(std::uint64_t Bytes) const {
  if (this->BytesPerSecond <= 0) {
    return Duration::zero();
  }
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      static_cast<double>(Bytes) / this->BytesPerSecond));
}

void LinkBudget::admit(std::uint64_t Bytes, TimePoint Now) {
  this->BusyUntil = std::max(this->BusyUntil, Now) + this->transferTime(Bytes);
}

} // namespace hemlockspar
