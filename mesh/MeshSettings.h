#pragma once

#include "core/Clock.h"
#include "net/Address.h"

#include <absl/status/statusor.h>

namespace hemlockspar {

/// Settings of one daemon that serves a mesh declared in the platform's store,
/// read from a YAML file at start.
struct MeshSettings {
  std::string Instance;
  std::string Region;
  std::string DataCenter;

  /// Where callers on this machine send requests.
  Address CallerAddress;

  /// Where the platform asks whether callers may be sent here.
  Address ReadinessAddress;

  /// Where the backend server beside this daemon reports.
  Address ReportAddress;

  /// Where other daemons send requests and calls.
  Address PeerAddress;

  /// Where they reach Inner; another address where something stands between.
  Address AdvertisedAddress;

  /// Where counters are shown; port 0 for nowhere.
  Address MetricsAddress;

  Address StoreAddress;

  /// The backend server that is expected here, and its service.
  Address ServerAddress;
  std::string Service;
  Duration HeartbeatInterval = std::chrono::seconds(1);

  /// A leaving backend server may be sent requests for this long after its
  /// word was acknowledged.
  Duration LeaveTime = std::chrono::milliseconds(2500);

  /// Time between SIGTERM and the end of the process.
  Duration StopTime = std::chrono::seconds(6);

  /// Longest time for which a backend server may be granted keys.
  Duration MaxHoldTime = std::chrono::seconds(10);

  /// Repeats of requests may add this share to the load of a service.
  double RetryShare = 0.2;

  /// Time over which the share is counted.
  Duration RetryWindow = std::chrono::seconds(10);

  /// Repeats within that time beside the share, over all instances.
  std::uint32_t RetryAllowance = 0;

  /// Requests are told to stop beyond this many at once.
  std::size_t MaxConnections = 2000;

  std::string LogLevel = "info";
};

/// Whether \p Text holds settings of a mesh daemon.
bool isMeshSettings(const std::string &Text);

/// Reads and checks settings; \p Path is used in messages only. The message of
/// a failure names file, line, field and what is allowed, a line a fault.
absl::StatusOr<MeshSettings> parseMeshSettings(const std::string &Text,
                                               const std::string &Path);

} // namespace hemlockspar
