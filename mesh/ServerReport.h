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

/// One life of a backend server: it may start again under the name it had,
/// and then owns and knows nothing of before.
struct ServerIncarnation {
  std::string Id;

  /// When it started, in milliseconds of the Unix epoch.
  std::int64_t StartedAt = 0;

  auto operator<=>(const ServerIncarnation &) const = default;
};

/// Keys From to To, both included.
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

/// Keys that a backend server says it holds or still works on.
struct HeldKeys {
  KeyRange Keys;
  FencingToken Token = 0;
};

/// Keys that a backend server has let go, with its state of them for the next
/// owner.
struct ReleasedKeys {
  KeyRange Keys;
  std::string HandoverState;
};

/// What a backend server tells the daemon beside it, about once a heartbeat.
struct ServerReport {
  ServerIncarnation Incarnation;

  /// Grows with each report of one run.
  std::uint64_t Sequence = 0;
  std::string Service;
  Address ServerAddress;
  std::string DataCenter;

  /// Requests that it runs at once.
  std::uint32_t Slots = 0;

  /// It asks to be sent nothing new, since it is about to stop.
  bool Leaving = false;
  std::vector<HeldKeys> Held;
  std::vector<ReleasedKeys> Released;
};

/// Keys that a backend server may serve, and the state that its predecessor
/// left; the state is empty when there is none.
struct GrantedKeys {
  KeyRange Keys;
  FencingToken Token = 0;
  std::string HandoverState;

  bool operator==(const GrantedKeys &) const = default;
};

/// Answer to a report of a service whose keys are owned: all keys that the
/// backend server is to hold for HoldTime from the sending of its report.
struct KeyGrants {
  std::vector<GrantedKeys> Granted;
  Duration HoldTime{};
};

} // namespace hemlockspar
