#pragma once

#include "mesh/ServerReport.h"

namespace hemlockspar {

/// Tracks which keys the local backend server holds under the grants that were
/// sent to it. Implementations differ in how grants reach the server. Free of
/// I/O; lives as long as the process.
class ServerGrants {
public:
  virtual ~ServerGrants() = default;

  /// Whether grants are part of the responses to the server's reports.
  virtual bool areInResponses() const = 0;

  /// A report received at \p ReceivedAt is answered with \p Grants. Called only
  /// when areInResponses.
  virtual void onResponse(const KeyGrants &Grants, TimePoint ReceivedAt) = 0;

  /// Whether a request for \p Key may be sent to the server at \p Now.
  virtual bool holds(KeyNumber Key, TimePoint Now) const = 0;

  /// Whether requests for no key may be sent to the server at \p Now.
  virtual bool holdsNone(TimePoint Now) const = 0;

  /// Latest time until which the server may hold any of \p Keys, whatever the
  /// speed of its clock and the delay of what was sent to it.
  virtual TimePoint heldUntil(const KeyRange &Keys) const = 0;

  /// The server's process has ended, or another one has taken its place.
  virtual void onServerEnded(TimePoint Now) = 0;

  /// The server does not hold \p Key, although a request for it was sent.
  virtual void onKeyRefused(KeyNumber Key) = 0;

  /// Last time at which requests for keys whose handover starts at \p Now are
  /// sent to the server, whose next report is due at \p ReportDue.
  virtual TimePoint servedUntil(TimePoint ReportDue, TimePoint Now) const = 0;

  /// Expected time from \p Now until a key owned here can be served, either
  /// here or, when it is \p HandedOver, by its next owner; the server's next
  /// report is due at \p ReportDue.
  virtual Duration expectedDelay(TimePoint ReportDue, bool HandedOver,
                                 TimePoint Now) const = 0;

  /// Takes the grants that the server should have, nothing while none may be
  /// issued, and the grants that are being taken back from it. Called often.
  virtual void update(const std::optional<KeyGrants> &Wanted,
                      const std::vector<GrantedKeys> &Revoked,
                      TimePoint Now) = 0;

  /// Moves out the keys that the server has released since the last call.
  virtual std::vector<ReleasedKeys> takeReleased(TimePoint Now) = 0;

  /// Whether the server has seen a higher token than that of \p Grant, which it
  /// will therefore never accept.
  virtual bool isTokenOutdated(const GrantedKeys &Grant) const = 0;

  /// Whether the server has given a sign of life after \p Since other than a
  /// report.
  virtual bool hasAnsweredSince(TimePoint Since) const = 0;
};

/// Factor by which a backend server's clock may run slower than the local one.
inline constexpr double MaxServerClockSlowdown = 1.02;

/// The longest time on the local clock that \p Hold takes on the server's.
inline Duration onSlowestServerClock(Duration Hold) {
  return std::chrono::duration_cast<Duration>(Hold * MaxServerClockSlowdown);
}

} // namespace hemlockspar
