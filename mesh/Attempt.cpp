#include "mesh/Attempt.h"

#include "core/EnumNames.h"
#include "mesh/RequestHeaderCodec.h"

namespace hemlockspar {

namespace {

constexpr std::array<const char *, 15> TryReasonNames = {
    "none",        "no-instance", "not-owner",    "key-moving", "no-server",
    "leaving",     "refused",     "busy",         "cold",       "no-home",
    "unreachable", "broken",      "wrong-answer", "time-over",  "caller-gone"};

constexpr std::array<const char *, 3> VerdictNames = {"ran", "not-run",
                                                      "wrong-server"};

} // namespace

const char *nameOf(AttemptReason Reason) {
  return enumName(TryReasonNames, Reason);
}

std::optional<AttemptReason> attemptReasonOf(const std::string &Name) {
  return enumFromName<AttemptReason>(TryReasonNames, Name);
}

const char *nameOf(ServerVerdict Verdict) {
  return enumName(VerdictNames, Verdict);
}

AttemptResult notRunResult(AttemptReason Reason, Duration Wait) {
  AttemptResult Result;
  Result.Reason = Reason;
  Result.ExpectedWait = Wait;
  return Result;
}

AttemptResult unknownResult(AttemptReason Reason) {
  AttemptResult Result;
  Result.Outcome = RequestOutcome::Unknown;
  Result.Reason = Reason;
  Result.ReachedServer = true;
  return Result;
}

} // namespace hemlockspar
