#pragma once

#include "coordination/Identity.h"
#include "coordination/Slots.h"

#include <optional>
#include <string>
#include <vector>

namespace hemlockspar {

/// Whether an instance's lease may be renewed.
enum class LeaseState { Live, Expired, Released };

/// Name of \p State as rows and resources show it.
const char *nameOf(LeaseState State);

/// Host and listening ports of an instance's daemon.
struct Endpoints {
  std::string Host;
  std::uint16_t CallerPort = 0;
  std::uint16_t ForwardPort = 0;
  std::uint16_t ControlPort = 0;
  std::uint16_t ApiPort = 0;

  bool operator==(const Endpoints &) const = default;
};

/// A process that acknowledges a holder's renewals.
struct WitnessRef {
  InstanceId Instance;
  hemlockspar::Incarnation Incarnation = 0;

  bool operator==(const WitnessRef &) const = default;
};

using WitnessSet = std::vector<WitnessRef>;

/// The lease of one instance: a row of the table, at key lease/<instance>.
/// A lease without witnesses is renewed by writing the row.
struct LeaseRow {
  hemlockspar::Incarnation Incarnation = 0;

  /// Increased by a takeover and by a new start of the lease. Stored as "life".
  std::uint64_t Epoch = 0;

  LeaseState State = LeaseState::Live;
  std::string Region;
  std::string DataCenter;
  Endpoints Addresses;
  WitnessSet Witnesses;

  /// The version that this one replaced, and its witnesses; a takeover needs a
  /// majority of both sets. Version zero means none.
  RowVersion PreviousVersion = 0;
  WitnessSet PreviousWitnesses;

  /// Additional delay of a takeover after the lease has expired, for backend
  /// servers that do not check fencing tokens.
  std::uint64_t TakeoverDelayMs = 0;

  std::string toText() const;

  /// Returns nothing when \p Text is no lease row.
  static std::optional<LeaseRow> fromText(const std::string &Text);
};

/// What one instance owns: a row of the table, at key holding/<instance>.
struct HoldingRow {
  /// The slots are valid only while this equals the lease's epoch. Stored as
  /// "life".
  std::uint64_t Epoch = 0;

  /// Service of the backend server beside the daemon; empty before one has
  /// announced itself.
  std::string Service;

  /// Number of requests that the backend server runs concurrently.
  std::uint32_t Capacity = 0;

  /// Whether slots may be assigned to this instance.
  bool Accepting = false;

  SlotsByKeyspace Slots;

  std::string toText() const;
  static std::optional<HoldingRow> fromText(const std::string &Text);
};

/// Slots of a key space that no instance owns yet, at key pool/<key space>.
struct PoolRow {
  std::string Service;
  SlotGrants Slots;

  std::string toText() const;
  static std::optional<PoolRow> fromText(const std::string &Text);
};

inline constexpr char LeasePrefix[] = "lease/";
inline constexpr char HoldingPrefix[] = "holding/";
inline constexpr char PoolPrefix[] = "pool/";
inline constexpr char ConfigPrefix[] = "config/";

std::string leaseKey(const InstanceId &Instance);
std::string holdingKey(const InstanceId &Instance);
std::string poolKey(const std::string &Keyspace);

/// The part of \p Key behind \p Prefix, or nothing when it starts otherwise.
std::optional<std::string> stripPrefix(const std::string &Key,
                                       const std::string &Prefix);

} // namespace hemlockspar
