#pragma once

#include "coordination/QueueDiscipline.h"
#include "coordination/RoutingTable.h"
#include "coordination/SlotBalancer.h"
#include "coordination/SlotGate.h"
#include "net/Address.h"

#include <memory>
#include <variant>

namespace hemlockspar {

// What the control thread tells the request thread.

struct RoutingChanged {
  std::shared_ptr<const RoutingTable> Table;
};

/// Dispatch is allowed before Until.
struct LeaseExtended {
  TimePoint Until;
};

struct FreezeWanted {
  std::uint64_t Handover = 0;
  SlotsByKeyspace Slots;
  bool WaitForBusy = false;
};

struct ThawWanted {
  std::uint64_t Handover = 0;
};

/// The backend server beside this daemon; not serving: send it nothing new.
struct BackendChanged {
  Address Server;
  std::uint32_t Capacity = 0;
  bool Serving = false;

  /// It is gone: what is in flight there is given up.
  bool Lost = false;

  /// Whether it refuses requests whose lease has expired, and how long a
  /// request may run there.
  bool ChecksGrants = true;
  std::chrono::milliseconds MaxRun{0};
};

struct QueueOrderChanged {
  QueueOrder Order = QueueOrder::Fifo;
};

/// The instance is leaving: ask callers to go elsewhere. Once it has left,
/// take no new connections and close idle ones.
struct DrainAdvanced {
  bool Left = false;
};

using ToRequests =
    std::variant<std::monostate, RoutingChanged, LeaseExtended, FreezeWanted,
                 ThawWanted, BackendChanged, QueueOrderChanged, DrainAdvanced>;

// What the request thread tells the control thread.

struct SlotsFrozen {
  FrozenSlots Frozen;
};

struct LoadMeasured {
  OwnLoad Load;
  std::size_t InFlight = 0;
};

/// The backend server refuses connections.
struct BackendLost {};

/// A peer that was taken for the owner is not; the map may be out of date.
struct RefreshWanted {};

/// After the instance has left: no caller and no peer is connected.
struct ConnectionsDone {};

using ToControl = std::variant<std::monostate, SlotsFrozen, LoadMeasured,
                               BackendLost, RefreshWanted, ConnectionsDone>;

} // namespace hemlockspar
