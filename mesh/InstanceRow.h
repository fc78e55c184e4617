#pragma once

#include "coordination/Identity.h"
#include "mesh/ServerReport.h"

#include <optional>

namespace hemlockspar {

/// State of an instance's backend server as seen by other instances.
enum class ServerState {
  /// Accepts requests.
  Ready,
  /// About to stop; accepts no new requests.
  Leaving,
  /// Absent, or does not respond.
  Gone,
};

/// Name of \p State in rows and logs.
const char *nameOf(ServerState State);
std::optional<ServerState> serverStateOf(const std::string &Name);

/// What an instance publishes about itself in the store.
struct InstanceRow {
  InstanceId Instance;
  std::string Region;
  std::string DataCenter;

  /// Where it accepts requests and calls of other daemons.
  Address PeerAddress;

  /// Its local backend server.
  std::string Service;
  ServerIncarnation Incarnation;
  std::uint32_t Slots = 0;
  ServerState State = ServerState::Gone;

  bool operator==(const InstanceRow &) const = default;

  std::string toText() const;
  static std::optional<InstanceRow> fromText(const std::string &Text);
};

} // namespace hemlockspar
