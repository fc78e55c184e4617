#pragma once

#include "mesh/Configuration.h"
#include "mesh/InstanceRow.h"
#include "mesh/KeyMap.h"
#include "mesh/Store.h"

#include <functional>
#include <map>

namespace hemlockspar {

/// What this process believes of the mesh: the configuration in force, the
/// instances and the owners of keys. Rows may come late, twice and in any
/// order; an older version never replaces a newer one. Free of I/O; lives as
/// long as the process.
class MeshView {
public:
  /// A map of owners and the version of its row.
  struct VersionedKeyMap {
    KeyMap Map;
    RowVersion Version = 0;
  };

  /// Names of the rows, within the table tables::Mesh.
  static std::string instanceKey(const InstanceId &Instance);
  static std::string keyMapKey(const std::string &Service);

  /// Takes \p Fresh into force; false when it is not newer than the one that
  /// is.
  bool adopt(ConfigurationPtr Fresh);

  /// Takes in rows of the table tables::Mesh.
  void apply(const StoreRows &Rows);

  /// Null before the first one is known.
  const ConfigurationPtr &configuration() const { return this->InForce; }

  const std::map<InstanceId, InstanceRow> &instances() const {
    return this->Instances;
  }
  const InstanceRow *findInstance(const InstanceId &Instance) const;

  /// Version at which the row of \p Instance was last written; 0 when absent.
  RowVersion instanceVersion(const InstanceId &Instance) const;

  /// Null when the service's keys have never had owners.
  const VersionedKeyMap *findKeyMap(const std::string &Service) const;

  /// The version of the newest reading of the whole table; 0 before it.
  RowVersion completeAt() const { return this->CompleteAt.value_or(0); }

  /// Whether the whole table has been read; it may have been empty.
  bool wasRead() const { return this->CompleteAt.has_value(); }

  /// \p OnChange is called after each change.
  void listen(std::function<void()> OnChange);

private:
  void applyRow(const TableRow &Row);
  void removeUnlisted(const StoreRows &Rows);
  void notify();

  ConfigurationPtr InForce;
  std::map<InstanceId, InstanceRow> Instances;
  std::map<std::string, VersionedKeyMap> KeyMaps;

  /// Versions of all rows seen, deleted ones too.
  std::map<std::string, RowVersion> Versions;
  std::optional<RowVersion> CompleteAt;
  std::vector<std::function<void()>> Listeners;
};

} // namespace hemlockspar
