#pragma once

#include "coordination/SlotMigrator.h"
#include "daemon/PlaneMessages.h"

#include <absl/status/statusor.h>
#include <json/value.h>

namespace hemlockspar {

/// Announcement that a backend server sends to its local daemon about twice a
/// second.
struct BackendAnnouncement {
  std::string Service;
  Address Server;
  std::uint32_t Capacity = 0;
  bool ChecksGrants = true;
  std::uint64_t MaxRunMs = 0;

  /// The server is shutting down and must get no new requests.
  bool Draining = false;

  /// Parses and validates an announcement.
  static absl::StatusOr<BackendAnnouncement> fromJson(const Json::Value &Value);
};

/// Derives from announcements and failed connections whether the local backend
/// server can take requests. Performs no I/O.
class BackendMonitor {
public:
  /// The server counts as lost after this long without an announcement.
  static constexpr Duration AnnouncementTimeout =
      std::chrono::milliseconds(1500);

  void onAnnouncement(const BackendAnnouncement &Announcement, TimePoint Now);

  /// Nothing could be sent to the server. It counts as lost until its next
  /// announcement.
  void onUnreachable() { this->Unreachable = true; }

  /// State for the request thread, as of \p Now.
  BackendStatus status(TimePoint Now) const;

  /// State for slot placement, as of \p Now.
  BackendState placementState(TimePoint Now) const;

  /// Longest time in milliseconds that a request may still run after the lease
  /// has expired; 0 for a server that checks grants.
  std::uint64_t takeoverDelayMs() const;

private:
  bool isAlive(TimePoint Now) const;

  std::optional<BackendAnnouncement> LatestAnnouncement;
  TimePoint AnnouncedAt;
  bool Unreachable = false;
};

} // namespace hemlockspar
