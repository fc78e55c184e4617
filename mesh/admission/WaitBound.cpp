#include "mesh/admission/WaitBound.h"

#include <algorithm>

namespace hemlockspar {

namespace {

/// Deviations of the run time kept free before the objective: 2 mean absolute
/// deviations are 1.6 standard deviations, which 95% of normally distributed
/// runs do not exceed.
constexpr int SpreadDeviations = 2;

/// Fraction of the time to the deadline, less the run time, that a request may
/// wait when its route never meets the objective.
constexpr double DeadlineShare = 0.25;

/// The same for a queue left by a burst.
constexpr double BurstDeadlineShare = 0.4;

} // namespace

bool fitsObjective(Duration RouteObjective, const RunTime &Run) {
  return RouteObjective >= Run.Mean;
}

Duration maxRankedWait(const RankedWaitBounds &Bounds) {
  const RunTime &Run = Bounds.Run;
  Duration ObjectiveWait =
      Bounds.ToObjective - Run.Mean - Run.Deviation * SpreadDeviations;
  bool Fits = fitsObjective(Bounds.RouteObjective, Run);
  double Share = Bounds.QueueStanding ? DeadlineShare : BurstDeadlineShare;
  auto DeadlineWait = std::chrono::duration_cast<Duration>(
      (Bounds.ToDeadline - Run.Mean) * Share);
  Duration MaxWait = Fits && Bounds.QueueStanding
                         ? ObjectiveWait
                         : std::max(ObjectiveWait, DeadlineWait);
  return std::max(std::min(MaxWait, Bounds.SenderMaxWait), Duration::zero());
}

} // namespace hemlockspar
