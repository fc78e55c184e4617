#pragma once

#include "core/Clock.h"

#include <cstdint>
#include <map>

namespace hemlockspar {

/// What bounds a request's wait for a slot.
struct WaitBounds {
  /// The longest wait that whoever sent the request allows; it may know of
  /// other instances.
  Duration SenderMaxWait{};

  /// Time left until the route's objective; negative when it has passed.
  Duration ToObjective{};

  /// Time left until an answer is of no use.
  Duration ToDeadline{};

  /// Mean time that requests of the route hold a slot here.
  Duration MeanRunTime{};

  /// Whether the queue has stood for a while, rather than come with a burst.
  bool QueueStanding = false;
};

/// Tells a queue that stands, whatever leaves it, from one that a burst has
/// left and that will be gone in a moment, for each rank of requests. Free of
/// I/O.
class StandingQueue {
public:
  /// A request of \p Rank arrived that \p MustStartFirst requests go before;
  /// \p Slots run at once.
  void onArrival(std::uint32_t Rank, std::size_t MustStartFirst,
                 std::uint32_t Slots, TimePoint Now);

  bool stands(std::uint32_t Rank, TimePoint Now) const;

private:
  /// When a request of the rank last found next to no queue.
  std::map<std::uint32_t, TimePoint> LastShortAt;
};

/// The longest that a request may be expected to wait for a slot; one that
/// would wait longer is refused when it arrives. Answers a load that stays
/// above what the backend server can do: there the queue settles at this
/// bound, so whatever is let in waits about that long. A bound by the end of
/// the caller's patience makes every answer a late one; one by the objective
/// leaves the same number of answers, in time. A queue that a burst has left is
/// no reason to turn requests away: they may wait longer. Free of I/O.
Duration maxQueueWait(const WaitBounds &Terms);

} // namespace hemlockspar
