#pragma once

#include "mesh/ServerGrants.h"

namespace hemlockspar {

/// Grants that are part of the responses to the server's reports. A response
/// replaces all earlier grants; keys that it leaves out are released, which the
/// next report confirms.
class ReportGrants : public ServerGrants {
public:
  /// \p LongestHold is the duration of the longest grant that an earlier
  /// process of the daemon may have issued before \p Now.
  ReportGrants(Duration Heartbeat, Duration LongestHold, TimePoint Now)
      : Heartbeat(Heartbeat),
        HeldUntil(Now + onSlowestServerClock(LongestHold)) {}

  bool areInResponses() const override { return true; }
  void onResponse(const KeyGrants &Grants, TimePoint ReceivedAt) override;

  bool holds(KeyNumber Key, TimePoint Now) const override;
  bool holdsNone(TimePoint Now) const override {
    return this->Granted.empty() || Now >= this->GrantedUntil;
  }
  TimePoint heldUntil(const KeyRange &) const override {
    return this->HeldUntil;
  }
  void onServerEnded(TimePoint Now) override;
  void onKeyRefused(KeyNumber) override {}
  TimePoint servedUntil(TimePoint ReportDue, TimePoint) const override;
  Duration expectedDelay(TimePoint ReportDue, bool HandedOver,
                         TimePoint Now) const override;
  void update(const std::optional<KeyGrants> &,
              const std::vector<GrantedKeys> &, TimePoint) override {}
  std::vector<ReleasedKeys> takeReleased(TimePoint) override { return {}; }
  bool isTokenOutdated(const GrantedKeys &) const override { return false; }
  bool hasAnsweredSince(TimePoint) const override { return false; }

private:
  Duration Heartbeat;
  std::vector<GrantedKeys> Granted;

  /// Requests may be sent to the backend server until then.
  TimePoint GrantedUntil;

  /// See heldUntil.
  TimePoint HeldUntil;
};

} // namespace hemlockspar
