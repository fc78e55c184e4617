#pragma once

#include "core/Clock.h"

#include <cstdint>
#include <map>

namespace hemlockspar {

/// Inputs that limit how long a request may wait for a slot.
struct WaitBounds {
  /// The longest wait that the sender allows; the sender may have other
  /// instances to try.
  Duration SenderMaxWait{};

  /// Time left until the route's latency objective; negative when it has
  /// passed.
  Duration ToObjective{};

  /// Time left until the deadline, after which a response is useless.
  Duration ToDeadline{};

  /// Mean time for which requests of the route occupy a slot here.
  Duration MeanRunTime{};

  /// Whether the queue is a standing queue rather than the result of a burst.
  bool QueueStanding = false;
};

/// Distinguishes, for each priority rank, a standing queue, which persists
/// although requests are being served, from a burst that drains quickly.
/// Performs no I/O.
class StandingQueue {
public:
  /// Records the arrival of a request of \p Rank behind \p MustStartFirst
  /// others on a backend server with \p Slots concurrent slots.
  void onArrival(std::uint32_t Rank, std::size_t MustStartFirst,
                 std::uint32_t Slots, TimePoint Now);

  bool stands(std::uint32_t Rank, TimePoint Now) const;

private:
  /// When a request of the rank last found a short queue.
  std::map<std::uint32_t, TimePoint> LastShortAt;
};

/// Returns the longest queue wait that a request may be expected to have; a
/// request that would wait longer is refused on arrival. Under sustained
/// overload the queue settles at this bound, so that every admitted request
/// waits about that long: a bound derived from the caller's timeout would make
/// every response late, whereas a bound derived from the latency objective
/// yields the same throughput with responses in time. Requests may wait longer
/// in a queue left by a burst, since it drains by itself. Performs no I/O.
Duration maxQueueWait(const WaitBounds &Bounds);

} // namespace hemlockspar
