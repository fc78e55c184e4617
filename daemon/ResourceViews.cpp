#include "daemon/ResourceViews.h"

#include "coordination/RoutingTable.h"

#include <absl/strings/str_cat.h>

namespace hemlockspar {

Json::Value resourcesView(const Member &Self, ResourceKind Kind) {
  Json::Value Items(Json::arrayValue);
  for (const TableRow *Row : Self.cache().withPrefix(resourceKey(Kind, ""))) {
    if (auto Found = Resource::fromRow(*Row)) {
      Items.append(Found->toJson());
    }
  }
  return Items;
}

Json::Value instancesView(const Member &Self) {
  Json::Value Items(Json::arrayValue);

  for (const auto &[Id, Known] : Self.directory().instances()) {
    Json::Value Item;
    Item["name"] = Id;
    Item["region"] = Known.Lease.Region;
    Item["data_center"] = Known.Lease.DataCenter;
    Item["lease"] = nameOf(Known.Lease.State);
    Item["life"] = Json::UInt64(Known.Lease.Epoch);
    Item["lease_version"] = Json::UInt64(Known.LeaseVersion);
    Item["service"] = Known.Holding.Service;
    Item["capacity"] = Known.Holding.Capacity;
    Item["accepting"] = Known.Holding.Accepting;
    Item["slots"] = Json::UInt64(countSlots(Known.Holding.Slots));
    Item["callers"] = absl::StrCat(Known.Lease.Addresses.Host, ":",
                                   Known.Lease.Addresses.CallerPort);
    Item["witnesses"] = Json::arrayValue;
    for (const WitnessRef &Witness : Known.Lease.Witnesses) {
      Item["witnesses"].append(Witness.Instance);
    }
    Items.append(Item);
  }
  return Items;
}

Json::Value ownershipView(const Member &Self) {
  Json::Value Items(Json::arrayValue);
  auto Table = RoutingTable::build(Self.directory(), Self.cache());

  for (const auto &[Name, Route] : Table->keyspaces()) {
    Json::Value Item;
    std::size_t Unowned = 0;
    std::vector<std::size_t> Counts(Table->instances().size());
    for (std::uint16_t Owner : Route.Owners) {
      if (Owner == KeyspaceRoute::NoOwner) {
        ++Unowned;
      } else {
        ++Counts[Owner];
      }
    }

    Item["name"] = Name;
    Item["slots"] = Json::UInt64(Route.Owners.size());
    Item["unowned"] = Json::UInt64(Unowned);
    Item["owners"] = Json::objectValue;
    for (std::size_t Index = 0; Index < Counts.size(); ++Index) {
      if (Counts[Index] > 0) {
        Item["owners"][Table->instances()[Index].Id] =
            Json::UInt64(Counts[Index]);
      }
    }
    Items.append(Item);
  }
  return Items;
}

std::optional<Json::Value> keyOwnerView(const Member &Self,
                                        const std::string &Keyspace,
                                        const std::string &Key) {
  auto Table = RoutingTable::build(Self.directory(), Self.cache());
  const KeyspaceRoute *Route = Table->findKeyspace(Keyspace);
  if (!Route) {
    return std::nullopt;
  }

  KeyOwner Owner = Table->findOwner(*Route, Key);
  Json::Value Body;
  Body["keyspace"] = Keyspace;
  Body["key"] = Key;
  Body["slot"] = Owner.Slot;
  Body["token"] = Json::UInt64(Owner.Token);
  Body["map_version"] = Json::UInt64(Table->version());

  if (Owner.Owner) {
    Body["owner"] = Owner.Owner->Id;
    Body["region"] = Owner.Owner->Region;
    Body["callers"] = absl::StrCat(Owner.Owner->Addresses.Host, ":",
                                   Owner.Owner->Addresses.CallerPort);
  } else {
    Body["owner"] = Json::nullValue;
  }
  return Body;
}

} // namespace hemlockspar
