#include "mesh/MeshView.h"

#include "core/Log.h"

#include <absl/strings/str_join.h>
#include <algorithm>

namespace hemlockspar {

namespace {

/// The name in row key \p Key when the row is in \p Table; nothing otherwise.
std::optional<std::string> nameIn(const std::string &Key, const char *Table) {
  std::string Prefix = rowKey(Table, "");
  return Key.starts_with(Prefix) ? std::optional(Key.substr(Prefix.size()))
                                 : std::nullopt;
}

void logMalformed(const TableRow &Row) {
  LogLine(LogLevel::Warning, "view", "row_ignored")
      .with("row", Row.Key)
      .with("version", static_cast<long long>(Row.Version))
      .with("reason", "row text is malformed");
}

} // namespace

std::string MeshView::instanceKey(const InstanceId &Instance) {
  return rowKey(tables::Instances, Instance);
}

std::string MeshView::keyMapKey(const std::string &Service) {
  return rowKey(tables::Keys, Service);
}

bool MeshView::activateConfiguration(ConfigurationPtr Fresh) {
  if (this->ActiveConfiguration &&
      Fresh->Version <= this->ActiveConfiguration->Version) {
    return false;
  }

  LogLine(LogLevel::Info, "view", "configuration_in_force")
      .with("version", static_cast<long long>(Fresh->Version))
      .with("before",
            this->ActiveConfiguration
                ? static_cast<long long>(this->ActiveConfiguration->Version)
                : 0)
      .with("routes", static_cast<long long>(Fresh->Routes.size()));
  this->ActiveConfiguration = std::move(Fresh);
  this->notifyListeners();
  return true;
}

void MeshView::setEvacuated(const std::set<std::string> &DataCenters,
                            RowVersion Version) {
  if (Version < this->EvacuatedVersion) {
    return;
  }
  this->EvacuatedVersion = Version;
  if (DataCenters == this->Evacuated) {
    return;
  }

  LogLine(LogLevel::Info, "view", "evacuation_changed")
      .with("version", static_cast<long long>(Version))
      .with("before", absl::StrJoin(this->Evacuated, ","))
      .with("now", absl::StrJoin(DataCenters, ","));
  this->Evacuated = DataCenters;
  this->notifyListeners();
}

void MeshView::apply(const StoreRows &Rows) {
  for (const TableRow &Row : Rows.Rows) {
    this->applyRow(Row);
  }

  auto Before = this->ReadVersions.find(Rows.Table);
  bool Newer =
      Before == this->ReadVersions.end() || Before->second <= Rows.Version;
  if (Rows.Complete && Newer) {
    this->removeUnlisted(Rows);
    this->ReadVersions[Rows.Table] = Rows.Version;
    this->markComplete(Rows.Table, Rows.Version);
  }
  this->notifyListeners();
}

void MeshView::applyRow(const TableRow &Row) {
  SeenRow &Known = this->SeenRows[Row.Key];
  if (Row.Version <= Known.Version) {
    return;
  }
  Known = {Row.Version, Row.Value.has_value()};

  if (auto Instance = nameIn(Row.Key, tables::Instances)) {
    auto Parsed = Row.Value ? InstanceRow::fromText(*Row.Value) : std::nullopt;
    if (Parsed && Parsed->Instance == *Instance) {
      this->Instances[*Instance] = std::move(*Parsed);
      return;
    }
    if (Row.Value) {
      logMalformed(Row);
    }
    this->Instances.erase(*Instance);
  } else if (auto Service = nameIn(Row.Key, tables::Keys)) {
    auto Parsed = Row.Value ? KeyMap::fromText(*Row.Value) : std::nullopt;
    if (Parsed) {
      this->KeyMaps[*Service] = {std::move(*Parsed), Row.Version};
      return;
    }
    if (Row.Value) {
      logMalformed(Row);
    }
    this->KeyMaps.erase(*Service);
  }
}

void MeshView::removeUnlisted(const StoreRows &Rows) {
  std::set<std::string> Listed;
  for (const TableRow &Row : Rows.Rows) {
    Listed.insert(Row.Key);
  }

  for (auto &[Key, Seen] : this->SeenRows) {
    auto Name = nameIn(Key, Rows.Table.c_str());
    if (!Name || Seen.Version > Rows.Version || Listed.contains(Key)) {
      continue;
    }
    Seen.Present = false;
    if (Rows.Table == tables::Instances) {
      this->Instances.erase(*Name);
    } else {
      this->KeyMaps.erase(*Name);
    }
  }
}

RowVersion MeshView::keysReadVersion() const {
  auto Found = this->ReadVersions.find(tables::Keys);
  return Found == this->ReadVersions.end() ? 0 : Found->second;
}

RowVersion MeshView::completeVersion(const std::string &Table) const {
  auto Found = this->CompleteVersions.find(Table);
  return Found == this->CompleteVersions.end() ? 0 : Found->second;
}

void MeshView::markComplete(const std::string &Table, RowVersion Version) {
  RowVersion &Known = this->CompleteVersions[Table];
  Known = std::max(Known, Version);
}

ViewVersions MeshView::versions() const {
  return {this->newestCompleteRow(tables::Instances),
          this->newestCompleteRow(tables::Keys)};
}

RowVersion MeshView::newestCompleteRow(const std::string &Table) const {
  RowVersion Newest = 0;
  RowVersion Complete = this->completeVersion(Table);
  std::string Prefix = rowKey(Table, "");

  for (auto Row = this->SeenRows.lower_bound(Prefix);
       Row != this->SeenRows.end() && Row->first.starts_with(Prefix); ++Row) {
    if (Row->second.Version <= Complete) {
      Newest = std::max(Newest, Row->second.Version);
    }
  }
  return Newest;
}

StoreRows MeshView::rowsAfter(const std::string &Table,
                              RowVersion Version) const {
  StoreRows Later;
  Later.Table = Table;
  Later.Version = this->completeVersion(Table);
  std::string Prefix = rowKey(Table, "");

  for (auto Row = this->SeenRows.lower_bound(Prefix);
       Row != this->SeenRows.end() && Row->first.starts_with(Prefix); ++Row) {
    // A row that could not be parsed must not look deleted to others.
    auto Text = this->rowText(Row->first);
    if (Row->second.Present && !Text) {
      Text = "";
    }
    if (Row->second.Version > Version) {
      Later.Rows.push_back({Row->first, Row->second.Version, std::move(Text)});
    }
  }
  return Later;
}

std::optional<std::string> MeshView::rowText(const std::string &Key) const {
  if (auto Name = nameIn(Key, tables::Instances)) {
    const InstanceRow *Row = this->findInstance(*Name);
    return Row ? std::optional(Row->toText()) : std::nullopt;
  }
  auto Service = nameIn(Key, tables::Keys);
  const VersionedKeyMap *Known = Service ? this->findKeyMap(*Service) : nullptr;
  return Known ? std::optional(Known->Map.toText()) : std::nullopt;
}

std::optional<TableRow> MeshView::keyMapRow(const std::string &Service) const {
  const VersionedKeyMap *Known = this->findKeyMap(Service);
  if (!Known) {
    return std::nullopt;
  }
  return TableRow{keyMapKey(Service), Known->Version, Known->Map.toText()};
}

const InstanceRow *MeshView::findInstance(const InstanceId &Instance) const {
  auto Found = this->Instances.find(Instance);
  return Found == this->Instances.end() ? nullptr : &Found->second;
}

RowVersion MeshView::instanceVersion(const InstanceId &Instance) const {
  auto Found = this->SeenRows.find(instanceKey(Instance));
  bool Present = Found != this->SeenRows.end() && Found->second.Present;
  return Present ? Found->second.Version : 0;
}

const MeshView::VersionedKeyMap *
MeshView::findKeyMap(const std::string &Service) const {
  auto Found = this->KeyMaps.find(Service);
  return Found == this->KeyMaps.end() ? nullptr : &Found->second;
}

void MeshView::addListener(std::function<void()> OnChange) {
  this->Listeners.push_back(std::move(OnChange));
}

void MeshView::notifyListeners() {
  for (const auto &OnChange : this->Listeners) {
    OnChange();
  }
}

} // namespace hemlockspar
