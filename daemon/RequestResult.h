#pragma once

#include "net/Http.h"

namespace hemlockspar {

/// The three things a caller can be told.
enum class RequestOutcome { Answered, NotRun, Unknown };

/// Name of \p Outcome as the header shows it.
const char *nameOf(RequestOutcome Outcome);
std::optional<RequestOutcome> requestOutcomeOf(const std::string &Name);

/// Why a request was not run, or why its outcome is not known.
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

/// Name of \p Reason as the header shows it.
const char *nameOf(OutcomeReason Reason);
std::optional<OutcomeReason> outcomeReasonOf(const std::string &Name);

/// What a request came to.
struct RequestResult {
  RequestOutcome Outcome = RequestOutcome::NotRun;
  OutcomeReason Reason = OutcomeReason::None;
  HttpResponse Response;
};

/// It certainly did not run. \p RetryAfter, when above zero, says when to try
/// again.
RequestResult
notRunResult(OutcomeReason Reason, const std::string &Detail,
             std::chrono::seconds RetryAfter = std::chrono::seconds(1));

/// It may have run.
RequestResult unknownResult(OutcomeReason Reason, const std::string &Detail);

/// The backend server's answer.
RequestResult answeredResult(HttpResponse Response);

/// Whether trying again, after a moment, may end better: it did not run, and
/// ownership or the servers may change.
bool isTransient(OutcomeReason Reason);

} // namespace hemlockspar
