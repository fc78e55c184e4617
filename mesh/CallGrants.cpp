#include "mesh/CallGrants.h"

#include "core/EnumNames.h"

#include <algorithm>
#include <array>

namespace hemlockspar {

namespace {

constexpr std::array<const char *, 5> GrantOutcomeNames = {
    "accepted", "token_outdated", "rejected", "not_sent", "unknown"};

/// A grant is renewed once this fraction of its time has passed, which leaves
/// time to repeat calls that are lost.
constexpr double RenewalShare = 0.35;

/// A call without an answer is repeated after this time: the server is on the
/// same machine and answers grants at once.
constexpr auto RepeatDelay = std::chrono::milliseconds(100);

/// Release calls are answered when the work on the keys has ended, so they are
/// repeated later than grants.
constexpr auto ReleaseRepeatDelay = std::chrono::milliseconds(400);

/// Release calls that may wait for the server at the same time: each occupies a
/// connection.
constexpr std::size_t MaxReleaseCalls = 4;

/// Typical time of a handover: release, write of the key map, grant.
constexpr auto TypicalHandover = std::chrono::milliseconds(250);

/// The parts of \p From outside \p Removed.
std::vector<KeyRange> subtract(const KeyRange &From, const KeyRange &Removed) {
  if (!From.overlaps(Removed)) {
    return {From};
  }
  std::vector<KeyRange> Rest;
  if (From.First < Removed.First) {
    Rest.push_back({From.First, Removed.First - 1});
  }
  if (From.Last > Removed.Last) {
    Rest.push_back({Removed.Last + 1, From.Last});
  }
  return Rest;
}

} // namespace

const char *nameOf(GrantOutcome Outcome) {
  return enumName(GrantOutcomeNames, Outcome);
}

CallGrants::CallGrants(GrantCalls &Calls, Duration LongestHold, TimePoint Now)
    : Calls(Calls), LongestHold(LongestHold),
      EarlierHeldUntil(Now + CallTimeout + onSlowestServerClock(LongestHold)) {}

bool CallGrants::holds(KeyNumber Key, TimePoint Now) const {
  return std::any_of(this->Served.begin(), this->Served.end(),
                     [&](const ServedKeys &Part) {
                       return Part.Keys.contains(Key) && Now < Part.Until;
                     });
}

bool CallGrants::holdsNone(TimePoint Now) const {
  return std::none_of(this->Served.begin(), this->Served.end(),
                      [&](const ServedKeys &Part) { return Now < Part.Until; });
}

TimePoint CallGrants::heldUntil(const KeyRange &Keys) const {
  TimePoint Until = this->EarlierHeldUntil;
  for (const SentGrant &Grant : this->Sent) {
    if (Grant.Keys.overlaps(Keys)) {
      Until = std::max(Until, Grant.HeldUntil);
    }
  }
  return Until;
}

void CallGrants::onServerEnded(TimePoint Now) {
  this->Served.clear();
  this->Revocations.clear();
  this->Outdated.clear();
  this->EarlierHeldUntil = Now;

  // A call that is on its way may reach the next process at the address.
  std::erase_if(this->Sent,
                [](const SentGrant &Grant) { return !Grant.InFlight; });
}

void CallGrants::onKeyRefused(KeyNumber Key) {
  std::erase_if(this->Served, [&](const ServedKeys &Part) {
    return Part.Keys.contains(Key);
  });
}

Duration CallGrants::expectedDelay(TimePoint, bool, TimePoint) const {
  return TypicalHandover;
}

// Grants

void CallGrants::update(const std::optional<KeyGrants> &Wanted,
                        const std::vector<GrantedKeys> &Revoked,
                        TimePoint Now) {
  this->prune(Now);
  this->updateRevocations(Revoked, Now);
  if (Wanted) {
    this->renew(*Wanted, Now);
  }
}

void CallGrants::prune(TimePoint Now) {
  std::erase_if(this->Served,
                [&](const ServedKeys &Part) { return Now >= Part.Until; });
  std::erase_if(this->Sent, [&](const SentGrant &Grant) {
    return !Grant.InFlight && Now >= Grant.HeldUntil;
  });
}

void CallGrants::renew(const KeyGrants &Wanted, TimePoint Now) {
  auto RenewAt = std::chrono::duration_cast<Duration>(Wanted.HoldTime *
                                                      (1.0 - RenewalShare));

  for (const GrantedKeys &Grant : Wanted.Granted) {
    bool Due = !this->isServed(Grant.Keys, Grant.Token, Now + RenewAt);
    if (!Due || this->isTokenOutdated(Grant) ||
        !this->mayCall(Grant.Keys, Now)) {
      continue;
    }

    SentGrant Call;
    Call.Number = ++this->LastNumber;
    Call.Keys = Grant.Keys;
    Call.Token = Grant.Token;
    Call.HoldTime = Wanted.HoldTime;
    Call.SentAt = Now;
    Call.NextCallAt = Now + RepeatDelay;
    Call.HeldUntil = Now + CallTimeout + onSlowestServerClock(Call.HoldTime);
    this->Sent.push_back(Call);
    this->Calls.grant(Call.Number, Grant, Call.HoldTime);
  }
}

bool CallGrants::isServed(const KeyRange &Keys, FencingToken Token,
                          TimePoint Until) const {
  KeyNumber Next = Keys.First;
  bool Advanced = true;
  while (Advanced && Next <= Keys.Last) {
    Advanced = false;
    for (const ServedKeys &Part : this->Served) {
      if (Part.Keys.contains(Next) && Part.Token == Token &&
          Part.Until > Until) {
        Next = Part.Keys.Last + 1;
        Advanced = true;
      }
    }
  }
  return Next > Keys.Last;
}

bool CallGrants::mayCall(const KeyRange &Keys, TimePoint Now) const {
  return std::none_of(
      this->Sent.begin(), this->Sent.end(), [&](const SentGrant &Grant) {
        return Grant.Keys.overlaps(Keys) && Now < Grant.NextCallAt;
      });
}

void CallGrants::onGrantResult(GrantCallNumber Number, GrantOutcome Outcome,
                               TimePoint Now) {
  auto Found = std::find_if(
      this->Sent.begin(), this->Sent.end(),
      [&](const SentGrant &Grant) { return Grant.Number == Number; });
  if (Found == this->Sent.end()) {
    return;
  }

  Found->InFlight = false;
  bool Applied = Outcome == GrantOutcome::Accepted;
  bool MayApply = Applied || Outcome == GrantOutcome::Unknown;
  if (Outcome != GrantOutcome::Unknown && Outcome != GrantOutcome::NotSent) {
    this->LastAnswerAt = Now;
  }
  if (Outcome == GrantOutcome::TokenOutdated) {
    this->Outdated.push_back({Found->Keys, Found->Token, ""});
  }
  if (!MayApply) {
    Found->Answered = true;
    Found->NextCallAt = Now + RepeatDelay;
    Found->HeldUntil = Found->NextCallAt;
    return;
  }
  if (!Applied) {
    return;
  }

  Found->Answered = true;
  Found->NextCallAt = Now;
  Found->HeldUntil =
      std::min(Found->HeldUntil, Now + onSlowestServerClock(Found->HoldTime));
  for (const Revocation &Revoked : this->Revocations) {
    if (Revoked.Grant.Keys.overlaps(Found->Keys)) {
      return;
    }
  }
  TimePoint Until = Found->SentAt + Found->HoldTime;
  std::erase_if(this->Served, [&](const ServedKeys &Part) {
    return Part.Keys == Found->Keys && Part.Until <= Until;
  });
  this->Served.push_back({Found->Keys, Found->Token, Until});
}

bool CallGrants::isTokenOutdated(const GrantedKeys &Grant) const {
  return std::any_of(this->Outdated.begin(), this->Outdated.end(),
                     [&](const GrantedKeys &Refused) {
                       return Refused.Token >= Grant.Token &&
                              Refused.Keys.overlaps(Grant.Keys);
                     });
}

// Releases

void CallGrants::stopServing(const KeyRange &Keys) {
  std::vector<ServedKeys> Rest;
  for (const ServedKeys &Part : this->Served) {
    for (const KeyRange &Kept : subtract(Part.Keys, Keys)) {
      Rest.push_back({Kept, Part.Token, Part.Until});
    }
  }
  this->Served = std::move(Rest);
}

bool CallGrants::hasCallInFlight(const KeyRange &Keys) const {
  return std::any_of(this->Sent.begin(), this->Sent.end(),
                     [&](const SentGrant &Grant) {
                       return Grant.InFlight && Grant.Keys.overlaps(Keys);
                     });
}

bool CallGrants::mayApplyLate(const KeyRange &Keys, TimePoint Now) const {
  bool Unanswered = std::any_of(
      this->Sent.begin(), this->Sent.end(), [&](const SentGrant &Grant) {
        return !Grant.Answered && Grant.Keys.overlaps(Keys) &&
               Now < Grant.HeldUntil;
      });
  return Unanswered || Now < this->EarlierHeldUntil;
}

void CallGrants::updateRevocations(const std::vector<GrantedKeys> &Current,
                                   TimePoint Now) {
  std::erase_if(this->Revocations, [&](const Revocation &Revoked) {
    return std::none_of(Current.begin(), Current.end(),
                        [&](const GrantedKeys &Grant) {
                          return Grant.Keys == Revoked.Grant.Keys &&
                                 Grant.Token == Revoked.Grant.Token;
                        });
  });
  for (const GrantedKeys &Grant : Current) {
    bool Known = std::any_of(this->Revocations.begin(), this->Revocations.end(),
                             [&](const Revocation &Revoked) {
                               return Revoked.Grant.Keys == Grant.Keys &&
                                      Revoked.Grant.Token == Grant.Token;
                             });
    if (!Known) {
      this->stopServing(Grant.Keys);
      this->Revocations.push_back({Grant, {}, Now, false, false, ""});
    }
  }

  // The order of a grant and a release that are on their way together would be
  // unknown.
  for (Revocation &Revoked : this->Revocations) {
    bool Due = !Revoked.Answered && Now >= Revoked.NextCallAt &&
               Revoked.Calls.size() < MaxReleaseCalls &&
               !this->hasCallInFlight(Revoked.Grant.Keys);
    if (Due) {
      Revoked.NextCallAt = Now + ReleaseRepeatDelay;
      Revoked.Calls.push_back(++this->LastNumber);
      this->Calls.release(this->LastNumber, Revoked.Grant);
    }
  }
}

void CallGrants::onReleaseResult(
    GrantCallNumber Number, const std::optional<std::string> &HandoverState,
    TimePoint Now) {
  for (Revocation &Revoked : this->Revocations) {
    if (std::erase(Revoked.Calls, Number) == 0) {
      continue;
    }
    if (HandoverState) {
      this->LastAnswerAt = Now;
      Revoked.Answered = true;
      Revoked.HandoverState = *HandoverState;
    }
  }
}

std::vector<ReleasedKeys> CallGrants::takeReleased(TimePoint Now) {
  std::vector<ReleasedKeys> Released;
  for (Revocation &Revoked : this->Revocations) {
    bool Complete = Revoked.Answered && !Revoked.Taken &&
                    !this->mayApplyLate(Revoked.Grant.Keys, Now);
    if (Complete) {
      Revoked.Taken = true;
      Released.push_back({Revoked.Grant.Keys, Revoked.HandoverState});
    }
  }
  return Released;
}

} // namespace hemlockspar
