#pragma once

#include "core/Clock.h"

#include <cstdint>
#include <map>

namespace hemlockspar {

/// Measures how much of the slots more urgent ranks take. Handles sustained
/// overload: requests that arrive later but are more urgent overtake a waiting
/// one, so that its rank drains only with what they leave, and a wait computed
/// from the requests ahead alone is too short. Performs no I/O.
class UrgentLoad {
public:
  /// A request of \p Rank that is expected to run for \p Run was given a slot.
  void onStarted(std::uint32_t Rank, Duration Run, TimePoint Now);

  /// The fraction of \p Slots slots that is left to \p Rank by more urgent
  /// ones.
  double fractionLeft(std::uint32_t Rank, std::uint32_t Slots,
                      TimePoint Now) const;

private:
  /// Decaying sum of run times, in seconds.
  struct Sum {
    double Seconds = 0;
    TimePoint At{};

    double decayed(TimePoint Now) const;
  };

  std::map<std::uint32_t, Sum> Ranks;
};

} // namespace hemlockspar
