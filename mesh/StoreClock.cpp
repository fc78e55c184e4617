#include "mesh/StoreClock.h"

namespace hemlockspar {

namespace {

Duration scaled(Duration Span, double Factor) {
  return std::chrono::duration_cast<Duration>(Span * Factor);
}

} // namespace

void StoreClock::observe(Duration StoreTime, TimePoint SentAt,
                         TimePoint ReceivedAt) {
  // Ignore responses that arrive out of order.
  if (this->LastObservation && ReceivedAt < this->LastObservation->ReceivedAt) {
    return;
  }
  this->LastObservation = {StoreTime, SentAt, ReceivedAt};
}

std::optional<Duration> StoreClock::earliestStoreTime(TimePoint Now) const {
  if (!this->LastObservation) {
    return std::nullopt;
  }
  return this->LastObservation->StoreTime +
         scaled(Now - this->LastObservation->ReceivedAt, 1.0 - MaxDrift);
}

std::optional<TimePoint> StoreClock::lastTimeBefore(Duration StoreTime) const {
  if (!this->LastObservation) {
    return std::nullopt;
  }
  return this->LastObservation->SentAt +
         scaled(StoreTime - this->LastObservation->StoreTime,
                1.0 / (1.0 + MaxDrift));
}

} // namespace hemlockspar
