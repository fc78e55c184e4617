#pragma once

#include "mesh/WaitPolicy.h"
#include "mesh/admission/RunTimes.h"

namespace hemlockspar {

/// Inputs of the wait bound of a service whose routes have different
/// priorities.
struct RankedWaitBounds {
  Duration SenderMaxWait{};

  /// Time left until the latency objective; negative when it has passed.
  Duration ToObjective{};
  Duration ToDeadline{};

  /// The latency objective of the route.
  Duration RouteObjective{};
  RunTime Run;
  bool QueueStanding = false;
};

/// Whether a run of a route fits into its latency objective.
bool fitsObjective(Duration RouteObjective, const RunTime &Run);

/// Returns the longest expected queue wait with which a request is admitted. In
/// a standing queue the run and its spread must still fit before the objective:
/// under sustained overload every admitted request waits about as long as the
/// bound, so a longer bound yields the same throughput with late responses.
/// Waits up to a share of the time to the deadline are for routes whose runs
/// never meet their objective, and for queues left by a burst, which drain.
/// Performs no I/O.
Duration maxRankedWait(const RankedWaitBounds &Bounds);

} // namespace hemlockspar
