#pragma once

#include "coordination/Identity.h"
#include "mesh/ServerReport.h"

#include <optional>

namespace hemlockspar {

/// What others may do with the backend server beside an instance.
enum class ServerState {
  /// Send it requests.
  Ready,
  /// It is about to stop: send it nothing new.
  Leaving,
  /// There is none, or it does not answer.
  Gone,
};

/// Name of \p State as rows and logs show it.
const char *nameOf(ServerState State);
std::optional<ServerState> serverStateOf(const std::string &Name);

/// What an instance tells all others through the store.
struct InstanceRow {
  InstanceId Instance;
  std::string Region;
  std::string DataCenter;

  /// Where it takes requests and calls of other daemons.
  Address PeerAddress;

  /// The backend server beside it.
  std::string Service;
  ServerIncarnation Incarnation;
  std::uint32_t Slots = 0;
  ServerState State = ServerState::Gone;

  bool operator==(const InstanceRow &) const = default;

  std::string toText() const;
  static std::optional<InstanceRow> fromText(const std::string &Text);
};

} // namespace hemlockspar
