#pragma once

#include "mesh/ServerGrants.h"

namespace hemlockspar {

/// Number of a grant or release call, unique within the process.
using GrantCallNumber = std::uint64_t;

/// Outcome of a grant call.
enum class GrantOutcome {
  Accepted,
  /// The server has seen a higher token for one of the keys.
  TokenOutdated,
  /// The server rejected the call and did not apply it.
  Rejected,
  /// The call was not sent.
  NotSent,
  /// The server may apply the call, even seconds later.
  Unknown,
};

const char *nameOf(GrantOutcome Outcome);

/// Calls that CallGrants requests. An implementation must not call back before
/// it returns.
class GrantCalls {
public:
  virtual ~GrantCalls() = default;

  /// Grants \p Grant for \p HoldTime, counted from the arrival of the call; the
  /// result goes to onGrantResult.
  virtual void grant(GrantCallNumber Number, const GrantedKeys &Grant,
                     Duration HoldTime) = 0;

  /// Takes back \p Grant. The server responds when the work on the keys has
  /// ended; the result goes to onReleaseResult.
  virtual void release(GrantCallNumber Number, const GrantedKeys &Grant) = 0;
};

/// Grants that are sent to the server by calls of their own, a range at a time,
/// and taken back by release calls. A call without an answer is repeated, and
/// may be applied long after that: keys count as released only once each grant
/// call for them was answered before the release, or has expired. Keeps keys
/// available and exclusive while calls are lost or applied late.
class CallGrants : public ServerGrants {
public:
  /// Longest time from the decision to send a call until it has arrived or
  /// never will.
  static constexpr std::chrono::milliseconds CallTimeout{400};

  /// \p LongestHold is the duration of the longest grant that an earlier
  /// process of the daemon may have sent before \p Now.
  CallGrants(GrantCalls &Calls, Duration LongestHold, TimePoint Now);

  void onGrantResult(GrantCallNumber Number, GrantOutcome Outcome,
                     TimePoint Now);

  /// \p HandoverState is the state that the server leaves for the next owner;
  /// nothing when the release was not answered.
  void onReleaseResult(GrantCallNumber Number,
                       const std::optional<std::string> &HandoverState,
                       TimePoint Now);

  bool areInResponses() const override { return false; }
  void onResponse(const KeyGrants &, TimePoint) override {}
  bool holds(KeyNumber Key, TimePoint Now) const override;
  bool holdsNone(TimePoint Now) const override;
  TimePoint heldUntil(const KeyRange &Keys) const override;
  void onServerEnded(TimePoint Now) override;
  void onKeyRefused(KeyNumber Key) override;
  TimePoint servedUntil(TimePoint, TimePoint Now) const override { return Now; }
  Duration expectedDelay(TimePoint, bool, TimePoint) const override;
  void update(const std::optional<KeyGrants> &Wanted,
              const std::vector<GrantedKeys> &Revoked, TimePoint Now) override;
  std::vector<ReleasedKeys> takeReleased(TimePoint Now) override;
  bool isTokenOutdated(const GrantedKeys &Grant) const override;
  bool hasAnsweredSince(TimePoint Since) const override {
    return this->LastAnswerAt > Since;
  }

private:
  /// Keys for which requests may be sent to the server.
  struct ServedKeys {
    KeyRange Keys;
    FencingToken Token = 0;
    TimePoint Until;
  };

  /// A grant call that the server has applied or may still apply.
  struct SentGrant {
    GrantCallNumber Number = 0;
    KeyRange Keys;
    FencingToken Token = 0;
    Duration HoldTime{};
    TimePoint SentAt;
    bool InFlight = true;
    bool Answered = false;

    /// No other call is made for the keys before this time.
    TimePoint NextCallAt;

    /// The server does not hold the keys under this grant after this time.
    TimePoint HeldUntil;
  };

  /// Keys that are being taken back.
  struct Revocation {
    GrantedKeys Grant;
    std::vector<GrantCallNumber> Calls;
    TimePoint NextCallAt;
    bool Answered = false;
    bool Taken = false;
    std::string HandoverState;
  };

  void prune(TimePoint Now);
  void renew(const KeyGrants &Wanted, TimePoint Now);
  bool isServed(const KeyRange &Keys, FencingToken Token,
                TimePoint Until) const;
  bool mayCall(const KeyRange &Keys, TimePoint Now) const;
  void stopServing(const KeyRange &Keys);
  void updateRevocations(const std::vector<GrantedKeys> &Revoked,
                         TimePoint Now);
  bool hasCallInFlight(const KeyRange &Keys) const;
  bool mayApplyLate(const KeyRange &Keys, TimePoint Now) const;

  GrantCalls &Calls;
  Duration LongestHold;
  std::vector<ServedKeys> Served;
  std::vector<SentGrant> Sent;
  std::vector<Revocation> Revocations;
  std::vector<GrantedKeys> Outdated;
  GrantCallNumber LastNumber = 0;
  TimePoint LastAnswerAt;

  /// Grants of an earlier process may last until then.
  TimePoint EarlierHeldUntil;
};

} // namespace hemlockspar
