#pragma once

#include "net/Http.h"

namespace hemlockspar {

/// What a caller is told about its request: answered by the backend server,
/// certainly not run, or possibly run.
enum class RequestOutcome { Answered, NotRun, Unknown };

/// Name of \p Outcome in the Hemlockspar-Outcome header.
const char *nameOf(RequestOutcome Outcome);
std::optional<RequestOutcome> requestOutcomeOf(const std::string &Name);

/// Why a request was not run, or why its outcome is unknown.
enum class OutcomeReason {
  None,
  BadRequest,
  UnknownKeyspace,
  NoOwner,
  NotOwner,
  SlotMoving,
  LeaseExpired,
  PeerUnreachable,
  BackendUnavailable,
  BackendRefused,
  Overloaded,
  DeadlinePassed,
  InProgress,
  KeyReused,
  ConnectionBroken,
  EarlierAttempt,
  CallerGone,
};

/// Name of \p Reason in the Hemlockspar-Reason header.
const char *nameOf(OutcomeReason Reason);
std::optional<OutcomeReason> outcomeReasonOf(const std::string &Name);

/// Result of one request, with the HTTP response to send.
struct RequestResult {
  RequestOutcome Outcome = RequestOutcome::NotRun;
  OutcomeReason Reason = OutcomeReason::None;
  HttpResponse Response;
};

/// Result of a request that certainly did not run. A \p RetryAfter above zero
/// is sent in the Retry-After header when the status is 503.
RequestResult
notRunResult(OutcomeReason Reason, const std::string &Detail,
             std::chrono::seconds RetryAfter = std::chrono::seconds(1));

/// Result of a request that may have run.
RequestResult unknownResult(OutcomeReason Reason, const std::string &Detail);

/// Result that carries the backend server's response.
RequestResult answeredResult(HttpResponse Response);

/// Whether a retry after a short delay may succeed: the request did not run,
/// and ownership or the state of the backend servers may change.
bool isTransient(OutcomeReason Reason);

} // namespace hemlockspar
