#include "daemon/RequestResult.h"

#include "core/EnumNames.h"
#include "daemon/RequestHeaders.h"

namespace hemlockspar {

namespace {

constexpr std::array<const char *, 3> OutcomeNames = {"answered", "not-run",
                                                      "unknown"};

constexpr std::array<const char *, 17> ReasonNames = {"none",
                                                      "bad-request",
                                                      "unknown-keyspace",
                                                      "no-owner",
                                                      "not-owner",
                                                      "slot-moving",
                                                      "lease-expired",
                                                      "peer-unreachable",
                                                      "backend-unavailable",
                                                      "backend-refused",
                                                      "overloaded",
                                                      "deadline-passed",
                                                      "in-progress",
                                                      "key-reused",
                                                      "connection-broken",
                                                      "earlier-attempt",
                                                      "caller-gone"};

http::status statusOf(OutcomeReason Reason) {
  switch (Reason) {
  case OutcomeReason::BadRequest:
    return http::status::bad_request;
  case OutcomeReason::UnknownKeyspace:
    return http::status::not_found;
  case OutcomeReason::InProgress:
    return http::status::conflict;
  case OutcomeReason::KeyReused:
    return http::status::unprocessable_entity;
  case OutcomeReason::ConnectionBroken:
  case OutcomeReason::EarlierAttempt:
    return http::status::bad_gateway;
  default:
    return http::status::service_unavailable;
  }
}

RequestResult makeResult(RequestOutcome Outcome, OutcomeReason Reason,
                         const std::string &Detail) {
  RequestResult Result;
  Result.Outcome = Outcome;
  Result.Reason = Reason;
  Result.Response = problemResponse(statusOf(Reason), nameOf(Reason), Detail);
  Result.Response.set(headers::Outcome, nameOf(Outcome));
  Result.Response.set(headers::Reason, nameOf(Reason));
  return Result;
}

} // namespace

const char *nameOf(RequestOutcome Outcome) {
  return enumName(OutcomeNames, Outcome);
}

std::optional<RequestOutcome> requestOutcomeOf(const std::string &Name) {
  return enumFromName<RequestOutcome>(OutcomeNames, Name);
}

std::optional<OutcomeReason> outcomeReasonOf(const std::string &Name) {
  return enumFromName<OutcomeReason>(ReasonNames, Name);
}

const char *nameOf(OutcomeReason Reason) {
  return enumName(ReasonNames, Reason);
}

RequestResult notRunResult(OutcomeReason Reason, const std::string &Detail,
                           std::chrono::seconds RetryAfter) {
  RequestResult Result = makeResult(RequestOutcome::NotRun, Reason, Detail);
  bool Retryable =
      Result.Response.result() == http::status::service_unavailable &&
      RetryAfter.count() > 0;
  if (Retryable) {
    Result.Response.set(http::field::retry_after,
                        std::to_string(RetryAfter.count()));
  }
  return Result;
}

RequestResult unknownResult(OutcomeReason Reason, const std::string &Detail) {
  return makeResult(RequestOutcome::Unknown, Reason, Detail);
}

RequestResult answeredResult(HttpResponse Response) {
  RequestResult Result;
  Result.Outcome = RequestOutcome::Answered;
  Result.Response = std::move(Response);
  Result.Response.set(headers::Outcome, nameOf(RequestOutcome::Answered));
  return Result;
}

bool isTransient(OutcomeReason Reason) {
  switch (Reason) {
  case OutcomeReason::NoOwner:
  case OutcomeReason::NotOwner:
  case OutcomeReason::SlotMoving:
  case OutcomeReason::LeaseExpired:
  case OutcomeReason::PeerUnreachable:
  case OutcomeReason::BackendUnavailable:
    return true;
  default:
    return false;
  }
}

} // namespace hemlockspar
