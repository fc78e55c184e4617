#pragma once

#include "mesh/links/ResponseQueue.h"
#include "mesh/links/RouteResponses.h"

#include <memory>

namespace hemlockspar {

/// What the admission of a request to the link depends on.
struct LinkDemand {
  std::string RouteName;
  std::uint32_t Rank = 0;
  TimePoint ObjectiveAt;
  TimePoint Deadline;
};

/// Decision on a request, with what it was based on.
struct LinkDecision {
  bool Admitted = true;

  /// Time until the responses that leave before this one have left.
  Duration Ahead{};

  /// Time that the response itself takes to leave.
  Duration Transfer{};
  ResponseEstimate Expected;
};

/// Decides whether the link can carry the response of a request in time, before
/// the request runs. Handles the load pattern of requests for large responses
/// that take up the link while slots are free: admitted by slots alone, their
/// responses wait for the link until they are late, after the work was done.
/// Counts what is expected of the requests that run or wait for a slot.
/// Performs no I/O.
class ResponseAdmission {
public:
  /// The expected response of an admitted request; given back when destroyed,
  /// also after the ResponseAdmission.
  using Reservation = std::shared_ptr<void>;

  ResponseAdmission(const ResponseQueue &Queue, const RouteResponses &Responses)
      : Queue(Queue), Responses(Responses),
        ReservedBytes(std::make_shared<BytesByRank>()) {}

  LinkDecision decide(const LinkDemand &Demand, TimePoint Now) const;

  /// Counts a response of \p Bytes until the result is destroyed, which is when
  /// it is put into the queue, or when there is none.
  Reservation reserve(std::uint32_t Rank, std::uint64_t Bytes);

  /// Time after which everything that waits or is expected will have left.
  Duration backlog(TimePoint Now) const;

private:
  using BytesByRank = std::map<std::uint32_t, std::uint64_t>;

  const ResponseQueue &Queue;
  const RouteResponses &Responses;
  std::shared_ptr<BytesByRank> ReservedBytes;
};

} // namespace hemlockspar
