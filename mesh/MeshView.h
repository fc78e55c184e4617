#pragma once

#include "mesh/Configuration.h"
#include "mesh/InstanceRow.h"
#include "mesh/KeyMap.h"
#include "mesh/Store.h"

#include <functional>
#include <map>

namespace hemlockspar {

/// How far an instance's view goes, as the versions of the newest rows that it
/// knows with all before them.
struct ViewVersions {
  RowVersion Instances = 0;
  RowVersion Keys = 0;

  bool operator==(const ViewVersions &) const = default;
};

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

  /// Keys of the rows.
  static std::string instanceKey(const InstanceId &Instance);
  static std::string keyMapKey(const std::string &Service);

  /// Takes \p Fresh into force; false when it is not newer than the one that
  /// is.
  bool activateConfiguration(ConfigurationPtr Fresh);

  /// Takes in rows of the tables of instances and of keys.
  void apply(const StoreRows &Rows);

  /// Null before the first one is known.
  const ConfigurationPtr &configuration() const {
    return this->ActiveConfiguration;
  }

  const std::map<InstanceId, InstanceRow> &instances() const {
    return this->Instances;
  }
  const InstanceRow *findInstance(const InstanceId &Instance) const;

  /// Version at which the row of \p Instance was last written; 0 when absent.
  RowVersion instanceVersion(const InstanceId &Instance) const;

  /// Null when the service's keys have never had owners.
  const VersionedKeyMap *findKeyMap(const std::string &Service) const;

  /// Version of the newest reading of the whole table of keys; 0 before it.
  RowVersion keysReadVersion() const;

  /// All rows of \p Table are known as they were at this version of the store.
  RowVersion completeVersion(const std::string &Table) const;

  /// Nothing of \p Table up to \p Version is missing here.
  void markComplete(const std::string &Table, RowVersion Version);

  /// How far this view goes.
  ViewVersions versions() const;

  /// The rows of \p Table that changed after \p Version; as far as they are
  /// known with all before them, its version says.
  StoreRows rowsAfter(const std::string &Table, RowVersion Version) const;

  /// The row of the owners of \p Service's keys; nothing when there is none.
  std::optional<TableRow> keyMapRow(const std::string &Service) const;

  /// Whether both tables have been read; they may have been empty.
  bool hasReadBothTables() const { return this->ReadVersions.size() == 2; }

  /// \p OnChange is called after each change.
  void addListener(std::function<void()> OnChange);

private:
  void applyRow(const TableRow &Row);
  void removeUnlisted(const StoreRows &Rows);
  RowVersion newestCompleteRow(const std::string &Table) const;
  std::optional<std::string> rowText(const std::string &Key) const;
  void notifyListeners();

  ConfigurationPtr ActiveConfiguration;
  std::map<InstanceId, InstanceRow> Instances;
  std::map<std::string, VersionedKeyMap> KeyMaps;

  /// Versions of all rows seen, deleted ones too.
  std::map<std::string, RowVersion> RowVersions;

  /// Version of the newest reading of each whole table.
  std::map<std::string, RowVersion> ReadVersions;

  /// See completeTo.
  std::map<std::string, RowVersion> CompleteVersions;
  std::vector<std::function<void()>> Listeners;
};

} // namespace hemlockspar
