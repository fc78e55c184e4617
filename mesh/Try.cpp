#include "mesh/Try.h"

#include "core/EnumNames.h"
#include "mesh/RequestDialect.h"

namespace hemlockspar {

namespace {

constexpr std::array<const char *, 13> TryReasonNames = {
    "none",         "no-instance", "not-owner",  "key-moving",  "no-server",
    "leaving",      "refused",     "busy",       "unreachable", "broken",
    "wrong-answer", "time-over",   "caller-gone"};

constexpr std::array<const char *, 3> VerdictNames = {"ran", "not-run",
                                                      "wrong-server"};

} // namespace

const char *nameOf(TryReason Reason) {
  return enumName(TryReasonNames, Reason);
}

std::optional<TryReason> tryReasonOf(const std::string &Name) {
  return enumFromName<TryReason>(TryReasonNames, Name);
}

const char *nameOf(ServerVerdict Verdict) {
  return enumName(VerdictNames, Verdict);
}

TryResult tryNotRun(TryReason Reason, Duration Wait) {
  TryResult Result;
  Result.Reason = Reason;
  Result.Wait = Wait;
  return Result;
}

TryResult tryUnknown(TryReason Reason) {
  TryResult Result;
  Result.Outcome = RequestOutcome::Unknown;
  Result.Reason = Reason;
  Result.Reached = true;
  return Result;
}

} // namespace hemlockspar
