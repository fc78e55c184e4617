#include "mesh/admission/UrgentLoad.h"

#include <algorithm>
#include <cmath>

namespace hemlockspar {

namespace {

/// Time constant of the sums: several run times, and short enough to follow a
/// burst.
constexpr double DecaySeconds = 2.0;

/// Less urgent ranks keep at least this fraction through their shares.
constexpr double MinFraction = 0.15;

/// Less urgent ranks are measured as this one; ranks come from other daemons as
/// well.
constexpr std::uint32_t MaxRank = 63;

} // namespace

double UrgentLoad::Sum::decayed(TimePoint Now) const {
  double Age = std::chrono::duration<double>(Now - this->At).count();
  return this->Seconds * std::exp(-std::max(Age, 0.0) / DecaySeconds);
}

void UrgentLoad::onStarted(std::uint32_t Rank, Duration Run, TimePoint Now) {
  Sum &Own = this->Ranks[std::min(Rank, MaxRank)];
  Own = {Own.decayed(Now) + std::chrono::duration<double>(Run).count(), Now};
}

double UrgentLoad::fractionLeft(std::uint32_t Rank, std::uint32_t Slots,
                                TimePoint Now) const {
  double Urgent = 0;
  for (auto It = this->Ranks.begin();
       It != this->Ranks.lower_bound(std::min(Rank, MaxRank)); ++It) {
    Urgent += It->second.decayed(Now);
  }
  return std::max(1 - Urgent / (DecaySeconds * Slots), MinFraction);
}

} // namespace hemlockspar
