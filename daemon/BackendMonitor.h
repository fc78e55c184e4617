#pragma once

#include "coordination/SlotMigrator.h"
#include "daemon/PlaneMessages.h"

#include <absl/status/statusor.h>
#include <json/value.h>

namespace hemlockspar {

/// How a backend server announces itself to the daemon beside it, about twice
/// a second.
struct BackendAnnouncement {
  std::string Service;
  Address Server;
  std::uint32_t Capacity = 0;
  bool ChecksGrants = true;
  std::uint64_t MaxRunMs = 0;

  /// It is leaving: give it no new work.
  bool Draining = false;

  /// Reads and checks an announcement.
  static absl::StatusOr<BackendAnnouncement> fromJson(const Json::Value &Value);
};

/// Tells from announcements and from failed connections whether the backend
/// server beside this daemon can be given work. Free of I/O.
class BackendMonitor {
public:
  /// Without an announcement for this long the server counts as lost.
  static constexpr Duration AnnouncementLife = std::chrono::milliseconds(1500);

  void onAnnouncement(const BackendAnnouncement &Announced, TimePoint Now);

  /// The server refused a connection.
  void onLost() { this->RefusedConnections = true; }

  /// What the request thread must know at \p Now.
  BackendChanged state(TimePoint Now) const;

  /// What placement must know at \p Now.
  BackendState placementState(TimePoint Now) const;

  /// Longest time that a request may run on after its lease, for a server
  /// that does not check grants. Milliseconds.
  std::uint64_t takeoverDelayMs() const;

private:
  bool alive(TimePoint Now) const;

  std::optional<BackendAnnouncement> Latest;
  TimePoint AnnouncedAt;
  bool RefusedConnections = false;
};

} // namespace hemlockspar
