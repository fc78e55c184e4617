#include "mesh/MeshView.h"

#include "core/Log.h"

#include <algorithm>
#include <set>

namespace hemlockspar {

namespace {

/// The name of row \p Key when it is in \p Table; nothing otherwise.
std::optional<std::string> nameIn(const std::string &Key, const char *Table) {
  std::string Prefix = rowKey(Table, "");
  return Key.starts_with(Prefix) ? std::optional(Key.substr(Prefix.size()))
                                 : std::nullopt;
}

void logUnreadable(const TableRow &Row) {
  LogLine(LogLevel::Warning, "view", "row_ignored")
      .with("row", Row.Key)
      .with("version", static_cast<long long>(Row.Version))
      .with("reason", "the row's text cannot be read");
}

} // namespace

std::string MeshView::instanceKey(const InstanceId &Instance) {
  return rowKey(tables::Instances, Instance);
}

std::string MeshView::keyMapKey(const std::string &Service) {
  return rowKey(tables::Keys, Service);
}

bool MeshView::adopt(ConfigurationPtr Fresh) {
  if (this->InForce && Fresh->Version <= this->InForce->Version) {
    return false;
  }

  LogLine(LogLevel::Info, "view", "configuration_in_force")
      .with("version", static_cast<long long>(Fresh->Version))
      .with("before",
            this->InForce ? static_cast<long long>(this->InForce->Version) : 0)
      .with("routes", static_cast<long long>(Fresh->Routes.size()));
  this->InForce = std::move(Fresh);
  this->notify();
  return true;
}

void MeshView::apply(const StoreRows &Rows) {
  for (const TableRow &Row : Rows.Rows) {
    this->applyRow(Row);
  }

  auto Before = this->ReadAt.find(Rows.Table);
  bool Newer = Before == this->ReadAt.end() || Before->second <= Rows.Version;
  if (Rows.Complete && Newer) {
    this->removeUnlisted(Rows);
    this->ReadAt[Rows.Table] = Rows.Version;
    this->noteComplete(Rows.Table, Rows.Version);
  }
  this->notify();
}

void MeshView::applyRow(const TableRow &Row) {
  RowVersion &Known = this->Versions[Row.Key];
  if (Row.Version <= Known) {
    return;
  }
  Known = Row.Version;

  if (auto Instance = nameIn(Row.Key, tables::Instances)) {
    auto Parsed = Row.Value ? InstanceRow::fromText(*Row.Value) : std::nullopt;
    if (Parsed && Parsed->Instance == *Instance) {
      this->Instances[*Instance] = std::move(*Parsed);
      return;
    }
    if (Row.Value) {
      logUnreadable(Row);
    }
    this->Instances.erase(*Instance);
  } else if (auto Service = nameIn(Row.Key, tables::Keys)) {
    auto Parsed = Row.Value ? KeyMap::fromText(*Row.Value) : std::nullopt;
    if (Parsed) {
      this->KeyMaps[*Service] = {std::move(*Parsed), Row.Version};
      return;
    }
    if (Row.Value) {
      logUnreadable(Row);
    }
    this->KeyMaps.erase(*Service);
  }
}

void MeshView::removeUnlisted(const StoreRows &Rows) {
  std::set<std::string> Listed;
  for (const TableRow &Row : Rows.Rows) {
    Listed.insert(Row.Key);
  }

  for (const auto &[Key, Version] : this->Versions) {
    auto Name = nameIn(Key, Rows.Table.c_str());
    if (!Name || Version > Rows.Version || Listed.contains(Key)) {
      continue;
    }
    if (Rows.Table == tables::Instances) {
      this->Instances.erase(*Name);
    } else {
      this->KeyMaps.erase(*Name);
    }
  }
}

RowVersion MeshView::keysReadAt() const {
  auto Place = this->ReadAt.find(tables::Keys);
  return Place == this->ReadAt.end() ? 0 : Place->second;
}

RowVersion MeshView::completeTo(const std::string &Table) const {
  auto Place = this->CompleteTo.find(Table);
  return Place == this->CompleteTo.end() ? 0 : Place->second;
}

void MeshView::noteComplete(const std::string &Table, RowVersion Version) {
  RowVersion &Known = this->CompleteTo[Table];
  Known = std::max(Known, Version);
}

ViewMarks MeshView::marks() const {
  return {this->markOf(tables::Instances), this->markOf(tables::Keys)};
}

RowVersion MeshView::markOf(const std::string &Table) const {
  RowVersion Newest = 0;
  RowVersion Complete = this->completeTo(Table);
  std::string Prefix = rowKey(Table, "");

  for (auto Row = this->Versions.lower_bound(Prefix);
       Row != this->Versions.end() && Row->first.starts_with(Prefix); ++Row) {
    if (Row->second <= Complete) {
      Newest = std::max(Newest, Row->second);
    }
  }
  return Newest;
}

StoreRows MeshView::rowsAfter(const std::string &Table,
                              RowVersion Version) const {
  StoreRows Later;
  Later.Table = Table;
  Later.Version = this->completeTo(Table);
  std::string Prefix = rowKey(Table, "");

  for (auto Row = this->Versions.lower_bound(Prefix);
       Row != this->Versions.end() && Row->first.starts_with(Prefix); ++Row) {
    if (Row->second > Version) {
      Later.Rows.push_back({Row->first, Row->second, this->textOf(Row->first)});
    }
  }
  return Later;
}

std::optional<std::string> MeshView::textOf(const std::string &Key) const {
  if (auto Name = nameIn(Key, tables::Instances)) {
    const InstanceRow *Row = this->findInstance(*Name);
    return Row ? std::optional(Row->toText()) : std::nullopt;
  }
  auto Service = nameIn(Key, tables::Keys);
  const VersionedKeyMap *Owners =
      Service ? this->findKeyMap(*Service) : nullptr;
  return Owners ? std::optional(Owners->Map.toText()) : std::nullopt;
}

std::optional<TableRow> MeshView::keyMapRow(const std::string &Service) const {
  const VersionedKeyMap *Owners = this->findKeyMap(Service);
  if (!Owners) {
    return std::nullopt;
  }
  return TableRow{keyMapKey(Service), Owners->Version, Owners->Map.toText()};
}

const InstanceRow *MeshView::findInstance(const InstanceId &Instance) const {
  auto Place = this->Instances.find(Instance);
  return Place == this->Instances.end() ? nullptr : &Place->second;
}

RowVersion MeshView::instanceVersion(const InstanceId &Instance) const {
  auto Place = this->Versions.find(instanceKey(Instance));
  bool Present = Place != this->Versions.end() && this->findInstance(Instance);
  return Present ? Place->second : 0;
}

const MeshView::VersionedKeyMap *
MeshView::findKeyMap(const std::string &Service) const {
  auto Place = this->KeyMaps.find(Service);
  return Place == this->KeyMaps.end() ? nullptr : &Place->second;
}

void MeshView::listen(std::function<void()> OnChange) {
  this->Listeners.push_back(std::move(OnChange));
}

void MeshView::notify() {
  for (const auto &OnChange : this->Listeners) {
    OnChange();
  }
}

} // namespace hemlockspar
