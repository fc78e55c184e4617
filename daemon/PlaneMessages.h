#pragma once

#include "coordination/QueueDiscipline.h"
#include "coordination/RoutingTable.h"
#include "coordination/SlotBalancer.h"
#include "coordination/SlotGate.h"
#include "net/Address.h"

#include <memory>
#include <variant>

namespace hemlockspar {

// Messages from the control thread to the request thread.

struct RoutingChanged {
  std::shared_ptr<const RoutingTable> Table;
};

/// Requests may be dispatched before ExpiresAt.
struct LeaseExtended {
  TimePoint ExpiresAt;
};

struct FreezeSlots {
  std::uint64_t Handover = 0;
  SlotsByKeyspace Slots;
  bool WaitForBusy = false;
};

struct ThawSlots {
  std::uint64_t Handover = 0;
};

/// State of this daemon's backend server. It gets no new requests unless
/// Serving.
struct BackendStatus {
  Address Server;
  std::uint32_t Capacity = 0;
  bool Serving = false;

  /// The server is lost; requests in flight to it are cancelled.
  bool Lost = false;

  /// Whether the server rejects requests whose lease has expired, and how long
  /// a request may run on it.
  bool ChecksGrants = true;
  std::chrono::milliseconds MaxRunTime{0};
};

struct QueueOrderChanged {
  QueueOrder Order = QueueOrder::Fifo;
};

/// The instance is draining: responses ask callers to open a new connection.
/// Once HasLeft, no connections are accepted and idle ones are closed.
struct DrainStateChanged {
  bool HasLeft = false;
};

using RequestThreadMessage =
    std::variant<std::monostate, RoutingChanged, LeaseExtended, FreezeSlots,
                 ThawSlots, BackendStatus, QueueOrderChanged,
                 DrainStateChanged>;

// Messages from the request thread to the control thread.

struct SlotsFrozen {
  FrozenSlots Frozen;
};

struct LoadMeasured {
  OwnLoad Load;
  std::size_t InFlight = 0;
};

/// A request or grant could not be sent to the backend server.
struct BackendUnreachable {};

/// A peer rejected a request for a key it does not own; the routing table may
/// be out of date.
struct RoutingStale {};

/// Sent after the instance has left, once no caller or peer is connected.
struct ConnectionsClosed {};

using ControlThreadMessage =
    std::variant<std::monostate, SlotsFrozen, LoadMeasured, BackendUnreachable,
                 RoutingStale, ConnectionsClosed>;

} // namespace hemlockspar
