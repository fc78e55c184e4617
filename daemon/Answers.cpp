#include "daemon/Answers.h"

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

http::status statusOf(AnswerReason Reason) {
  switch (Reason) {
  case AnswerReason::BadRequest:
    return http::status::bad_request;
  case AnswerReason::UnknownKeyspace:
    return http::status::not_found;
  case AnswerReason::InProgress:
    return http::status::conflict;
  case AnswerReason::KeyReused:
    return http::status::unprocessable_entity;
  case AnswerReason::ConnectionBroken:
  case AnswerReason::EarlierAttempt:
    return http::status::bad_gateway;
  default:
    return http::status::service_unavailable;
  }
}

Answer makeAnswer(RequestOutcome Outcome, AnswerReason Reason,
                  const std::string &Detail) {
  Answer Result;
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

std::optional<AnswerReason> answerReasonOf(const std::string &Name) {
  return enumFromName<AnswerReason>(ReasonNames, Name);
}

const char *nameOf(AnswerReason Reason) {
  return enumName(ReasonNames, Reason);
}

Answer notRun(AnswerReason Reason, const std::string &Detail,
              std::chrono::seconds RetryAfter) {
  Answer Result = makeAnswer(RequestOutcome::NotRun, Reason, Detail);
  bool WorthRetrying =
      Result.Response.result() == http::status::service_unavailable &&
      RetryAfter.count() > 0;
  if (WorthRetrying) {
    Result.Response.set(http::field::retry_after,
                        std::to_string(RetryAfter.count()));
  }
  return Result;
}

Answer unknown(AnswerReason Reason, const std::string &Detail) {
  return makeAnswer(RequestOutcome::Unknown, Reason, Detail);
}

Answer answered(HttpResponse Response) {
  Answer Result;
  Result.Outcome = RequestOutcome::Answered;
  Result.Response = std::move(Response);
  Result.Response.set(headers::Outcome, nameOf(RequestOutcome::Answered));
  return Result;
}

bool isTransient(AnswerReason Reason) {
  switch (Reason) {
  case AnswerReason::NoOwner:
  case AnswerReason::NotOwner:
  case AnswerReason::SlotMoving:
  case AnswerReason::LeaseExpired:
  case AnswerReason::PeerUnreachable:
  case AnswerReason::BackendUnavailable:
    return true;
  default:
    return false;
  }
}

} // namespace hemlockspar
