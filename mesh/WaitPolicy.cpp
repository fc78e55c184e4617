#include "mesh/WaitPolicy.h"

#include <algorithm>

namespace hemlockspar {

namespace {

/// Fraction of the time to the objective, less the run time, that may be spent
/// waiting: the rest covers runs longer than the mean and the response's way
/// back.
constexpr double ObjectiveShare = 0.75;

/// Fraction of the time to the deadline, less the run time, that a request may
/// wait whose objective has passed or is close to the run time.
constexpr double DeadlineShare = 0.25;

/// The same for a queue left by a burst: calls that other requests depend on
/// have short objectives and remain useful well after them.
constexpr double BurstDeadlineShare = 0.4;

/// A queue shorter than the number of slots divided by this counts as short: it
/// drains within a third of a mean run.
constexpr std::uint32_t ShortQueueDivisor = 3;

/// A queue that has not been short for this long is a standing queue. Longer
/// than most run times, so that the queue of a burst has drained by then.
constexpr auto StandingQueueAge = std::chrono::milliseconds(800);

Duration fractionOf(Duration Span, double Share) {
  return std::chrono::duration_cast<Duration>(Span * Share);
}

} // namespace

void StandingQueue::onArrival(std::uint32_t Rank, std::size_t MustStartFirst,
                              std::uint32_t Slots, TimePoint Now) {
  auto Found = this->LastShortAt.find(Rank);
  bool IsShort = MustStartFirst <= Slots / ShortQueueDivisor;
  if (Found == this->LastShortAt.end() || IsShort) {
    this->LastShortAt[Rank] = Now;
  }
}

bool StandingQueue::stands(std::uint32_t Rank, TimePoint Now) const {
  auto Found = this->LastShortAt.find(Rank);
  return Found != this->LastShortAt.end() &&
         Now - Found->second > StandingQueueAge;
}

Duration maxQueueWait(const WaitBounds &Bounds) {
  Duration ObjectiveWait =
      fractionOf(Bounds.ToObjective - Bounds.MeanRunTime, ObjectiveShare);
  Duration DeadlineWait =
      fractionOf(Bounds.ToDeadline - Bounds.MeanRunTime,
                 Bounds.QueueStanding ? DeadlineShare : BurstDeadlineShare);
  Duration MaxWait =
      std::min(Bounds.SenderMaxWait, std::max(ObjectiveWait, DeadlineWait));
  return std::max(MaxWait, Duration::zero());
}

} // namespace hemlockspar
