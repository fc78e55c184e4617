#pragma once

#include "core/Clock.h"

#include <optional>

namespace hemlockspar {

/// Relates this machine's clock to the store's steady clock, which every
/// response of the store carries. Leases are written in the store's time, so
/// that the clocks of two machines are never compared. Performs no I/O.
class StoreClock {
public:
  /// Maximum relative difference in speed between the clocks of two machines;
  /// the platform states 2% for its slowest clocks.
  static constexpr double MaxDrift = 0.02;

  /// Records that a call sent at \p SentAt and answered at \p ReceivedAt
  /// returned \p StoreTime.
  void observe(Duration StoreTime, TimePoint SentAt, TimePoint ReceivedAt);

  /// Returns a lower bound of the store's clock at \p Now; empty before the
  /// first response.
  std::optional<Duration> earliestStoreTime(TimePoint Now) const;

  /// Returns the latest local time at which the store's clock is certainly
  /// below \p StoreTime, based on the newest response; empty before the first
  /// response.
  std::optional<TimePoint> lastTimeBefore(Duration StoreTime) const;

private:
  struct Observation {
    Duration StoreTime{};
    TimePoint SentAt;
    TimePoint ReceivedAt;
  };

  std::optional<Observation> LastObservation;
};

} // namespace hemlockspar
