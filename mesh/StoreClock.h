#pragma once

#include "core/Clock.h"

#include <optional>

namespace hemlockspar {

/// Relates this machine's clock to the store's steady clock, which all
/// instances can read with any answer of the store. Leases are written in the
/// store's time, so no two machines' clocks are ever compared. Free of I/O.
class StoreClock {
public:
  /// Clocks of two machines may differ in speed by this share at most; the
  /// platform states 2% for its slowest clocks.
  static constexpr double MaxDrift = 0.02;

  /// An answer stated \p StoreTime to a call sent at \p SentAt and answered at
  /// \p ReceivedAt.
  void observe(Duration StoreTime, TimePoint SentAt, TimePoint ReceivedAt);

  /// The store's clock has reached this at \p Now; nothing before the first
  /// answer.
  std::optional<Duration> earliestStoreTime(TimePoint Now) const;

  /// The moment up to which the store's clock is certainly below
  /// \p StoreTime, from the newest answer; nothing before the first answer.
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
