#include "mesh/ReportGrants.h"

#include <algorithm>

namespace hemlockspar {

namespace {

/// During a handover the keys are served until this long before the backend
/// server's next report is due, so that running requests finish in time and the
/// server can release the keys at once.
constexpr auto DrainBeforeReport = std::chrono::milliseconds(300);

} // namespace

void ReportGrants::onResponse(const KeyGrants &Grants, TimePoint ReceivedAt) {
  this->Granted = Grants.Granted;
  this->GrantedUntil = ReceivedAt + Grants.HoldTime;
  this->HeldUntil = std::max(
      this->HeldUntil, ReceivedAt + onSlowestServerClock(Grants.HoldTime));
}

bool ReportGrants::holds(KeyNumber Key, TimePoint Now) const {
  bool Held = std::any_of(
      this->Granted.begin(), this->Granted.end(),
      [&](const GrantedKeys &Keys) { return Keys.Keys.contains(Key); });
  return Held && Now < this->GrantedUntil;
}

void ReportGrants::onServerEnded(TimePoint Now) {
  this->HeldUntil = Now;
  this->Granted.clear();
}

TimePoint ReportGrants::servedUntil(TimePoint ReportDue, TimePoint) const {
  return ReportDue - DrainBeforeReport;
}

Duration ReportGrants::expectedDelay(TimePoint ReportDue, bool HandedOver,
                                     TimePoint Now) const {
  Duration Next = std::max<Duration>(ReportDue - Now, Duration::zero());

  // The next owner's backend server has to report as well.
  return HandedOver ? Next + this->Heartbeat / 2 : Next;
}

} // namespace hemlockspar
