#pragma once

#include "mesh/Configuration.h"
#include "mesh/InstanceRow.h"
#include "mesh/KeyMap.h"
#include "mesh/Store.h"
#include "mesh/configuration/TableFreshness.h"

#include <functional>
#include <map>
#include <set>

namespace hemlockspar {

/// How far an instance's view is complete: for each table, the version of the
/// newest row that it knows together with all rows before it.
struct ViewVersions {
  RowVersion Instances = 0;
  RowVersion Keys = 0;

  bool operator==(const ViewVersions &) const = default;
};

/// This process's view of the mesh: the active configuration, the instances and
/// the owners of keys. Rows may arrive late, repeatedly and in any order; an
/// older version never replaces a newer one. Free of I/O; lives as long as the
/// process.
class MeshView {
public:
  /// A key map and the version of its row.
  struct VersionedKeyMap {
    KeyMap Map;
    RowVersion Version = 0;
  };

  /// Keys of the rows.
  static std::string instanceKey(const InstanceId &Instance);
  static std::string keyMapKey(const std::string &Service);

  /// Makes \p Fresh the active configuration; false when it is not newer than
  /// the active one.
  bool activateConfiguration(ConfigurationPtr Fresh);

  /// Applies rows of the instance table and the table of key maps.
  void apply(const StoreRows &Rows);

  /// Sets the data centres whose evacuation operators ask for, as known at
  /// \p Version of the table; an older version changes nothing.
  void setEvacuated(const std::set<std::string> &DataCenters,
                    RowVersion Version);

  /// Whether nothing may be sent to the backend servers of \p DataCenter.
  bool isEvacuated(const std::string &DataCenter) const {
    return this->Evacuated.contains(DataCenter);
  }
  const std::set<std::string> &evacuated() const { return this->Evacuated; }

  /// Null before the first configuration is known.
  const ConfigurationPtr &configuration() const {
    return this->ActiveConfiguration;
  }

  /// How recently the operators' table was confirmed to be known here.
  TableFreshness &operatorFreshness() { return this->OperatorFreshness; }
  const TableFreshness &operatorFreshness() const {
    return this->OperatorFreshness;
  }

  const std::map<InstanceId, InstanceRow> &instances() const {
    return this->Instances;
  }
  const InstanceRow *findInstance(const InstanceId &Instance) const;

  /// Version at which the row of \p Instance was last written, also when the
  /// row is malformed; 0 when absent.
  RowVersion instanceVersion(const InstanceId &Instance) const;

  /// Null when the service's keys have never had owners.
  const VersionedKeyMap *findKeyMap(const std::string &Service) const;

  /// The key maps of all services, by service.
  const std::map<std::string, VersionedKeyMap> &keyMaps() const {
    return this->KeyMaps;
  }

  /// Version of the newest read of the whole table of key maps; 0 before the
  /// first.
  RowVersion keysReadVersion() const;

  /// Version of the store up to which all rows of \p Table are known.
  RowVersion completeVersion(const std::string &Table) const;

  /// Records that no row of \p Table up to \p Version is missing here.
  void markComplete(const std::string &Table, RowVersion Version);

  /// How far this view is complete.
  ViewVersions versions() const;

  /// The rows of \p Table that changed after \p Version. The version of the
  /// result says up to where it is complete.
  StoreRows rowsAfter(const std::string &Table, RowVersion Version) const;

  /// The row with the key map of \p Service; nothing when there is none.
  std::optional<TableRow> keyMapRow(const std::string &Service) const;

  /// Whether both tables have been read; they may have been empty.
  bool hasReadBothTables() const { return this->ReadVersions.size() == 2; }

  /// \p OnChange is called after each change.
  void addListener(std::function<void()> OnChange);

private:
  /// What is known of a row, whether or not it could be parsed.
  struct SeenRow {
    RowVersion Version = 0;
    bool Present = false;
  };

  void applyRow(const TableRow &Row);
  void removeUnlisted(const StoreRows &Rows);
  RowVersion newestCompleteRow(const std::string &Table) const;
  std::optional<std::string> rowText(const std::string &Key) const;
  void notifyListeners();

  ConfigurationPtr ActiveConfiguration;
  TableFreshness OperatorFreshness;
  std::set<std::string> Evacuated;
  RowVersion EvacuatedVersion = 0;
  std::map<InstanceId, InstanceRow> Instances;
  std::map<std::string, VersionedKeyMap> KeyMaps;

  /// All rows seen, including deleted ones.
  std::map<std::string, SeenRow> SeenRows;

  /// Version of the newest read of each whole table.
  std::map<std::string, RowVersion> ReadVersions;

  /// See completeVersion.
  std::map<std::string, RowVersion> CompleteVersions;
  std::vector<std::function<void()>> Listeners;
};

} // namespace hemlockspar
