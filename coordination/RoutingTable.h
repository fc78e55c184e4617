#pragma once

#include "coordination/InstanceDirectory.h"

#include <memory>
#include <unordered_map>

namespace hemlockspar {

/// Slot owners of a key space.
struct KeyspaceRoute {
  std::string Name;
  std::string Service;

  /// For each slot, index into RoutingTable::instances, or NoOwner.
  std::vector<std::uint16_t> Owners;
  std::vector<FencingToken> Tokens;

  static constexpr std::uint16_t NoOwner = 0xFFFF;
};

/// Addresses of an instance.
struct InstanceRoute {
  InstanceId Id;
  std::uint64_t Epoch = 0;
  std::string Region;
  Endpoints Addresses;
};

/// The owner of a key.
struct KeyOwner {
  SlotIndex Slot = 0;
  FencingToken Token = 0;

  /// Null when no instance owns the slot.
  const InstanceRoute *Owner = nullptr;
};

/// Immutable map of slot owners at one version of the table.
class RoutingTable {
public:
  /// Builds the map from the cached rows.
  static std::shared_ptr<const RoutingTable>
  build(const InstanceDirectory &Directory, const RowCache &Cache);

  /// Null when no such key space is declared.
  const KeyspaceRoute *findKeyspace(const std::string &Name) const;

  KeyOwner findOwner(const KeyspaceRoute &Keyspace, std::string_view Key) const;

  /// Index of \p Id in instances, or KeyspaceRoute::NoOwner.
  std::uint16_t indexOf(const InstanceId &Id) const;

  /// Whether lease epoch \p Epoch of instance \p Id was ended by a takeover, so
  /// that requests sent to it may never be answered. An instance that hands
  /// over its slots or releases its lease answers them first and does not count
  /// as taken over.
  bool wasTakenOver(const InstanceId &Id, std::uint64_t Epoch) const;

  const std::vector<InstanceRoute> &instances() const {
    return this->Instances;
  }
  const std::unordered_map<std::string, KeyspaceRoute> &keyspaces() const {
    return this->Keyspaces;
  }

  /// The table version up to which every change is in this map.
  RowVersion version() const { return this->Version; }

private:
  void addKeyspace(const std::string &Name, const std::string &Declaration);
  void addOwner(const InstanceId &Id,
                const InstanceDirectory::Instance &Instance);

  RowVersion Version = 0;
  std::vector<InstanceRoute> Instances;

  /// The latest known lease epoch of every instance.
  std::unordered_map<InstanceId, std::uint64_t> LatestEpochs;
  std::unordered_map<std::string, KeyspaceRoute> Keyspaces;
};

} // namespace hemlockspar
