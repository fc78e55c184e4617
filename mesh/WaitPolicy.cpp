#include "mesh/WaitPolicy.h"

#include <algorithm>

namespace hemlockspar {

namespace {

/// Part of the time to the objective, less the run itself, that may be spent
/// waiting: the rest is for runs longer than the mean and for the way back.
constexpr double AimShare = 0.75;

/// Part of the time to the end, less the run, that a request may wait that
/// cannot meet its objective any more, or whose objective is close to the run.
constexpr double EndShare = 0.25;

Duration part(Duration Whole, double Share) {
  return std::chrono::duration_cast<Duration>(Whole * Share);
}

} // namespace

Duration longestWait(const WaitTerms &Terms) {
  Duration InTime = part(Terms.ToAim - Terms.Run, AimShare);
  Duration Late = part(Terms.ToEnd - Terms.Run, EndShare);
  Duration Longest = std::min(Terms.Allowed, std::max(InTime, Late));
  return std::max(Longest, Duration::zero());
}

} // namespace hemlockspar
