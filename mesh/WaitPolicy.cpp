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

/// The same while the queue is a burst's: calls that other requests wait for
/// have short objectives and are still of use a good deal later.
constexpr double BurstEndShare = 0.4;

/// A queue shorter than this part of the slots is next to none: it is gone
/// after a third of a mean run.
constexpr std::uint32_t ShortDivisor = 3;

/// A queue that has not been short for this long stands: longer than most runs
/// take, so that a burst's is gone by then.
constexpr auto StandingAfter = std::chrono::milliseconds(800);

Duration part(Duration Whole, double Share) {
  return std::chrono::duration_cast<Duration>(Whole * Share);
}

} // namespace

void StandingQueue::onArrival(std::uint32_t Rank, std::size_t MustStartFirst,
                              std::uint32_t Slots, TimePoint Now) {
  auto Place = this->LastShortAt.find(Rank);
  bool Short = MustStartFirst <= Slots / ShortDivisor;
  if (Place == this->LastShortAt.end() || Short) {
    this->LastShortAt[Rank] = Now;
  }
}

bool StandingQueue::stands(std::uint32_t Rank, TimePoint Now) const {
  auto Place = this->LastShortAt.find(Rank);
  return Place != this->LastShortAt.end() &&
         Now - Place->second > StandingAfter;
}

Duration maxQueueWait(const WaitBounds &Terms) {
  Duration InTime = part(Terms.ToObjective - Terms.MeanRunTime, AimShare);
  Duration Late = part(Terms.ToDeadline - Terms.MeanRunTime,
                       Terms.QueueStanding ? EndShare : BurstEndShare);
  Duration Longest = std::min(Terms.SenderMaxWait, std::max(InTime, Late));
  return std::max(Longest, Duration::zero());
}

} // namespace hemlockspar
