#include "coordination/RoutingTable.h"

#include "core/ErrorMacros.h"
#include "core/Json.h"

namespace hemlockspar {

namespace {

const std::string KeyspacePrefix = std::string(ConfigPrefix) + "keyspaces/";

} // namespace

std::shared_ptr<const RoutingTable>
RoutingTable::build(const InstanceDirectory &Directory, const RowCache &Cache) {
  auto Table = std::make_shared<RoutingTable>();
  Table->Version = Cache.completeVersion();

  for (const TableRow *Row : Cache.withPrefix(KeyspacePrefix)) {
    Table->addKeyspace(Row->Key.substr(KeyspacePrefix.size()), *Row->Value);
  }

  for (const auto &[Id, Instance] : Directory.instances()) {
    Table->LatestEpochs[Id] = Instance.Lease.Epoch;
    if (Instance.live()) {
      Table->addOwner(Id, Instance);
    }
  }

  return Table;
}

void RoutingTable::addKeyspace(const std::string &Name,
                               const std::string &Declaration) {
  auto Value = readJson(Declaration);
  HS_FAIL_COND(!Value || !Value->isObject());

  const Json::Value &Spec = (*Value)["spec"];
  KeyspaceRoute Route;
  Route.Name = Name;
  Route.Service = getString(Spec, "service");

  std::uint64_t SlotCount = getUnsigned(Spec, "slots");
  HS_FAIL_COND(SlotCount == 0);
  Route.Owners.assign(SlotCount, KeyspaceRoute::NoOwner);
  Route.Tokens.assign(SlotCount, 0);
  this->Keyspaces[Name] = std::move(Route);
}

void RoutingTable::addOwner(const InstanceId &Id,
                            const InstanceDirectory::Instance &Instance) {
  HS_FAIL_COND(this->Instances.size() >= KeyspaceRoute::NoOwner);

  auto Index = static_cast<std::uint16_t>(this->Instances.size());
  this->Instances.push_back({Id, Instance.Lease.Epoch, Instance.Lease.Region,
                             Instance.Lease.Addresses});

  for (const auto &[Keyspace, Grants] : Instance.Holding.Slots) {
    auto It = this->Keyspaces.find(Keyspace);
    if (It == this->Keyspaces.end()) {
      continue;
    }

    KeyspaceRoute &Route = It->second;
    for (const SlotGrant &Grant : Grants) {
      // The rows of one handover may arrive separately; the owner with the
      // greater token is the later one.
      bool Later = Grant.Slot < Route.Owners.size() &&
                   Grant.Token > Route.Tokens[Grant.Slot];
      if (Later) {
        Route.Owners[Grant.Slot] = Index;
        Route.Tokens[Grant.Slot] = Grant.Token;
      }
    }
  }
}

const KeyspaceRoute *RoutingTable::findKeyspace(const std::string &Name) const {
  auto It = this->Keyspaces.find(Name);
  return It == this->Keyspaces.end() ? nullptr : &It->second;
}

std::uint16_t RoutingTable::indexOf(const InstanceId &Id) const {
  for (std::size_t Index = 0; Index < this->Instances.size(); ++Index) {
    if (this->Instances[Index].Id == Id) {
      return static_cast<std::uint16_t>(Index);
    }
  }
  return KeyspaceRoute::NoOwner;
}

bool RoutingTable::wasTakenOver(const InstanceId &Id,
                                std::uint64_t Epoch) const {
  auto Latest = this->LatestEpochs.find(Id);
  return Latest != this->LatestEpochs.end() && Latest->second > Epoch;
}

KeyOwner RoutingTable::findOwner(const KeyspaceRoute &Keyspace,
                                 std::string_view Key) const {
  KeyOwner Result;
  Result.Slot = slotOfKey(Key, static_cast<SlotIndex>(Keyspace.Owners.size()));
  Result.Token = Keyspace.Tokens[Result.Slot];

  std::uint16_t Owner = Keyspace.Owners[Result.Slot];
  if (Owner != KeyspaceRoute::NoOwner) {
    Result.Owner = &this->Instances[Owner];
  }

  return Result;
}

} // namespace hemlockspar
