#include "coordination/Rows.h"

#include "core/EnumNames.h"
#include "core/Json.h"

namespace hemlockspar {

namespace {

constexpr std::array<const char *, 3> LeaseStateNames = {"live", "expired",
                                                         "released"};

std::optional<LeaseState> leaseStateOf(const std::string &Name) {
  return enumFromName<LeaseState>(LeaseStateNames, Name);
}

Json::Value witnessesToJson(const WitnessSet &Witnesses) {
  Json::Value Value(Json::arrayValue);

  for (const WitnessRef &Witness : Witnesses) {
    Json::Value Pair(Json::arrayValue);
    Pair.append(Witness.Instance);
    Pair.append(Json::UInt64(Witness.Incarnation));
    Value.append(Pair);
  }

  return Value;
}

std::optional<WitnessSet> witnessesFromJson(const Json::Value &Value) {
  WitnessSet Witnesses;

  for (const Json::Value &Pair : Value) {
    bool Sound = Pair.isArray() && Pair.size() == 2 && Pair[0].isString() &&
                 Pair[1].isUInt64();
    if (!Sound) {
      return std::nullopt;
    }
    Witnesses.push_back({Pair[0].asString(), Pair[1].asUInt64()});
  }

  return Witnesses;
}

Json::Value endpointsToJson(const Endpoints &Addresses) {
  Json::Value Value;
  Value["host"] = Addresses.Host;
  Value["caller"] = Addresses.CallerPort;
  Value["forward"] = Addresses.ForwardPort;
  Value["control"] = Addresses.ControlPort;
  Value["api"] = Addresses.ApiPort;
  return Value;
}

Endpoints endpointsFromJson(const Json::Value &Value) {
  Endpoints Addresses;
  Addresses.Host = getString(Value, "host");
  Addresses.CallerPort =
      static_cast<std::uint16_t>(getUnsigned(Value, "caller"));
  Addresses.ForwardPort =
      static_cast<std::uint16_t>(getUnsigned(Value, "forward"));
  Addresses.ControlPort =
      static_cast<std::uint16_t>(getUnsigned(Value, "control"));
  Addresses.ApiPort = static_cast<std::uint16_t>(getUnsigned(Value, "api"));
  return Addresses;
}

} // namespace

const char *nameOf(LeaseState State) {
  return enumName(LeaseStateNames, State);
}

std::string LeaseRow::toText() const {
  Json::Value Value;
  Value["incarnation"] = Json::UInt64(this->Incarnation);
  Value["life"] = Json::UInt64(this->Epoch);
  Value["state"] = nameOf(this->State);
  Value["region"] = this->Region;
  Value["data_center"] = this->DataCenter;
  Value["addresses"] = endpointsToJson(this->Addresses);
  Value["witnesses"] = witnessesToJson(this->Witnesses);
  Value["takeover_delay_ms"] = Json::UInt64(this->TakeoverDelayMs);

  if (this->PreviousVersion != 0) {
    Value["previous"]["version"] = Json::UInt64(this->PreviousVersion);
    Value["previous"]["witnesses"] = witnessesToJson(this->PreviousWitnesses);
  }

  return writeJson(Value);
}

std::optional<LeaseRow> LeaseRow::fromText(const std::string &Text) {
  auto Value = readJson(Text);
  if (!Value || !Value->isObject()) {
    return std::nullopt;
  }

  auto State = leaseStateOf(getString(*Value, "state"));
  auto Witnesses = witnessesFromJson((*Value)["witnesses"]);
  const Json::Value &Previous = (*Value)["previous"];
  auto PreviousWitnesses = Previous.isObject()
                               ? witnessesFromJson(Previous["witnesses"])
                               : WitnessSet();
  if (!State || !Witnesses || !PreviousWitnesses) {
    return std::nullopt;
  }

  LeaseRow Row;
  Row.Incarnation = getUnsigned(*Value, "incarnation");
  Row.Epoch = getUnsigned(*Value, "life");
  Row.State = *State;
  Row.Region = getString(*Value, "region");
  Row.DataCenter = getString(*Value, "data_center");
  Row.Addresses = endpointsFromJson((*Value)["addresses"]);
  Row.Witnesses = *Witnesses;
  Row.PreviousVersion = getUnsigned(Previous, "version");
  Row.PreviousWitnesses = *PreviousWitnesses;
  Row.TakeoverDelayMs = getUnsigned(*Value, "takeover_delay_ms");
  return Row;
}

std::string HoldingRow::toText() const {
  Json::Value Value;
  Value["life"] = Json::UInt64(this->Epoch);
  Value["service"] = this->Service;
  Value["capacity"] = this->Capacity;
  Value["accepting"] = this->Accepting;
  Value["slots"] = slotsToJson(this->Slots);
  return writeJson(Value);
}

std::optional<HoldingRow> HoldingRow::fromText(const std::string &Text) {
  auto Value = readJson(Text);
  if (!Value || !Value->isObject()) {
    return std::nullopt;
  }

  auto Slots = slotsFromJson((*Value)["slots"]);
  if (!Slots) {
    return std::nullopt;
  }

  HoldingRow Row;
  Row.Epoch = getUnsigned(*Value, "life");
  Row.Service = getString(*Value, "service");
  Row.Capacity = static_cast<std::uint32_t>(getUnsigned(*Value, "capacity"));
  Row.Accepting =
      (*Value)["accepting"].isBool() && (*Value)["accepting"].asBool();
  Row.Slots = *Slots;
  return Row;
}

std::string PoolRow::toText() const {
  Json::Value Value;
  Value["service"] = this->Service;
  Value["slots"] = this->Slots.toJson();
  return writeJson(Value);
}

std::optional<PoolRow> PoolRow::fromText(const std::string &Text) {
  auto Value = readJson(Text);
  if (!Value || !Value->isObject()) {
    return std::nullopt;
  }

  auto Slots = SlotGrants::fromJson((*Value)["slots"]);
  if (!Slots) {
    return std::nullopt;
  }

  return PoolRow{getString(*Value, "service"), *Slots};
}

std::string leaseKey(const InstanceId &Instance) {
  return LeasePrefix + Instance;
}

std::string holdingKey(const InstanceId &Instance) {
  return HoldingPrefix + Instance;
}

std::string poolKey(const std::string &Keyspace) {
  return PoolPrefix + Keyspace;
}

std::optional<std::string> stripPrefix(const std::string &Key,
                                       const std::string &Prefix) {
  if (!Key.starts_with(Prefix)) {
    return std::nullopt;
  }
  return Key.substr(Prefix.size());
}

} // namespace hemlockspar
