#pragma once

#include "coordination/Identity.h"
#include "core/Clock.h"
#include "net/Address.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hemlockspar {

/// Keys are numbers from 0 to MaxKey.
using KeyNumber = std::uint32_t;
inline constexpr KeyNumber MaxKey = 65535;

/// One process of a backend server: after a restart it may have the same name,
/// but owns no keys and has no earlier state.
struct ServerIncarnation {
  std::string Id;

  /// When it started, in milliseconds since the Unix epoch.
  std::int64_t StartedAt = 0;

  auto operator<=>(const ServerIncarnation &) const = default;
};

/// Range of the keys First to Last, both inclusive.
struct KeyRange {
  KeyNumber First = 0;
  KeyNumber Last = 0;

  bool contains(KeyNumber Key) const {
    return this->First <= Key && Key <= this->Last;
  }
  bool overlaps(const KeyRange &Other) const {
    return this->First <= Other.Last && Other.First <= this->Last;
  }
  std::uint32_t size() const { return this->Last - this->First + 1; }

  auto operator<=>(const KeyRange &) const = default;
};

/// Keys that a backend server reports as held or still in use.
struct HeldKeys {
  KeyRange Keys;
  FencingToken Token = 0;
};

/// Keys that a backend server has released, with its handover state for the
/// next owner.
struct ReleasedKeys {
  KeyRange Keys;
  std::string HandoverState;
};

/// Report of a backend server to its local daemon, sent about once per
/// heartbeat.
struct ServerReport {
  ServerIncarnation Incarnation;

  /// Increases with each report of one process.
  std::uint64_t Sequence = 0;
  std::string Service;
  Address ServerAddress;
  std::string DataCenter;

  /// Number of requests that it runs concurrently.
  std::uint32_t Slots = 0;

  /// How long the server stays cold; empty when it does not tell.
  std::optional<Duration> ColdLeft;

  /// Asks for no new requests, since the server is about to stop.
  bool Leaving = false;
  std::vector<HeldKeys> Held;
  std::vector<ReleasedKeys> Released;
};

/// Keys that a backend server may serve, with the handover state of the
/// previous owner; the state is empty when there is none.
struct GrantedKeys {
  KeyRange Keys;
  FencingToken Token = 0;
  std::string HandoverState;

  bool operator==(const GrantedKeys &) const = default;
};

/// Response to a report of a service with key ownership: all keys that the
/// backend server may hold, for HoldTime from the sending of its report.
struct KeyGrants {
  std::vector<GrantedKeys> Granted;
  Duration HoldTime{};
};

} // namespace hemlockspar
