#include "mesh/StoreClock.h"

namespace hemlockspar {

namespace {

Duration scaled(Duration Span, double Factor) {
  return std::chrono::duration_cast<Duration>(Span * Factor);
}

} // namespace

void StoreClock::observe(Duration StoreTime, TimePoint SentAt,
                         TimePoint ReceivedAt) {
  // An older answer that comes late says nothing new.
  if (this->Newest && ReceivedAt < this->Newest->ReceivedAt) {
    return;
  }
  this->Newest = {StoreTime, SentAt, ReceivedAt};
}

std::optional<Duration> StoreClock::earliest(TimePoint Now) const {
  if (!this->Newest) {
    return std::nullopt;
  }
  return this->Newest->StoreTime +
         scaled(Now - this->Newest->ReceivedAt, 1.0 - Drift);
}

std::optional<TimePoint> StoreClock::certainlyBefore(Duration StoreTime) const {
  if (!this->Newest) {
    return std::nullopt;
  }
  return this->Newest->SentAt +
         scaled(StoreTime - this->Newest->StoreTime, 1.0 / (1.0 + Drift));
}

} // namespace hemlockspar
