#pragma once

#include "core/Clock.h"
#include "net/Address.h"

#include <absl/status/statusor.h>

namespace hemlockspar {

/// Settings of one daemon of a mesh whose configuration is in the platform's
/// store; read from a YAML file at start-up.
struct MeshSettings {
  std::string Instance;
  std::string Region;
  std::string DataCenter;

  /// Where callers on this machine send requests (setting listen.callers).
  Address CallerAddress;

  /// Where the platform checks readiness (setting listen.readiness).
  Address ReadinessAddress;

  /// Where the local backend server sends reports (setting listen.reports).
  Address ReportAddress;

  /// Where this daemon listens for requests and calls of other daemons (setting
  /// listen.inner).
  Address PeerAddress;

  /// Address under which other daemons reach PeerAddress; differs when a proxy
  /// is in between.
  Address AdvertisedAddress;

  /// Where metrics are served; disabled when the port is 0.
  Address MetricsAddress;

  Address StoreAddress;

  /// The expected local backend server and its service.
  Address ServerAddress;
  std::string Service;
  Duration HeartbeatInterval = std::chrono::seconds(1);

  /// How keys are granted to the backend server (setting server.grants): in the
  /// responses to its reports ("heartbeat") or by calls ("rpc").
  std::string GrantMethod = "heartbeat";

  /// How long requests may still be sent to a leaving backend server after its
  /// announcement has been acknowledged.
  Duration LeaveTime = std::chrono::milliseconds(2500);

  /// Time between SIGTERM and the end of the process.
  Duration StopTime = std::chrono::seconds(6);

  /// Longest time for which keys may be granted to a backend server.
  Duration MaxHoldTime = std::chrono::seconds(10);

  /// Retries per request that are allowed for each service.
  double RetryShare = 0.2;

  /// Time window of the share and the allowance.
  Duration RetryWindow = std::chrono::seconds(10);

  /// Additional retries per window, over all instances.
  std::uint32_t RetryAllowance = 0;

  /// Maximum number of concurrent connections per listening address; further
  /// ones wait to be accepted.
  std::size_t MaxConnections = 2000;

  /// Memory of this machine in MB. Three fifths of it are the budget for what
  /// the process holds on behalf of others.
  std::uint64_t MemoryMb = 512;

  /// Number of file descriptors that the process may use, as a whole.
  std::size_t Descriptors = 4096;

  /// Rate of this machine's link in Mbit/s; 0 when it is not limited.
  double LinkMbps = 0;

  std::string LogLevel = "info";
};

/// Whether \p Text contains settings of a mesh daemon.
bool isMeshSettings(const std::string &Text);

/// Parses and validates settings; \p Path is used in messages only. The error
/// message has one line per fault with file, line, field and allowed values.
absl::StatusOr<MeshSettings> parseMeshSettings(const std::string &Text,
                                               const std::string &Path);

} // namespace hemlockspar
