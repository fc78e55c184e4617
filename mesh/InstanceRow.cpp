#include "mesh/InstanceRow.h"

#include "core/EnumNames.h"
#include "core/Json.h"

namespace hemlockspar {

namespace {

constexpr std::uint64_t MaxSlots = 1 << 16;

constexpr std::array<const char *, 3> ServerStateNames = {"ready", "leaving",
                                                          "gone"};

} // namespace

const char *nameOf(ServerState State) {
  return enumName(ServerStateNames, State);
}

std::optional<ServerState> serverStateOf(const std::string &Name) {
  return enumFromName<ServerState>(ServerStateNames, Name);
}

std::string InstanceRow::toText() const {
  Json::Value Text;
  Text["instance"] = this->Instance;
  Text["region"] = this->Region;
  Text["dc"] = this->DataCenter;
  Text["inner"] = this->PeerAddress.toText();
  Text["service"] = this->Service;
  Text["server"] = this->Incarnation.Id;
  Text["started"] = Json::Int64(this->Incarnation.StartedAt);
  Text["slots"] = this->Slots;
  Text["state"] = nameOf(this->State);
  return writeJson(Text);
}

std::optional<InstanceRow> InstanceRow::fromText(const std::string &Text) {
  auto Value = readJson(Text);
  if (!Value || !Value->isObject()) {
    return std::nullopt;
  }

  InstanceRow Row;
  auto State = serverStateOf(getString(*Value, "state"));
  const Json::Value &Started = (*Value)["started"];
  std::uint64_t Slots = getUnsigned(*Value, "slots");
  bool IsValid = State && Started.isInt64() && Slots <= MaxSlots &&
                 Address::fromText(getString(*Value, "inner"), Row.PeerAddress);
  if (!IsValid) {
    return std::nullopt;
  }

  Row.Instance = getString(*Value, "instance");
  Row.Region = getString(*Value, "region");
  Row.DataCenter = getString(*Value, "dc");
  Row.Service = getString(*Value, "service");
  Row.Incarnation = {getString(*Value, "server"), Started.asInt64()};
  Row.Slots = static_cast<std::uint32_t>(Slots);
  Row.State = *State;
  return Row.Instance.empty() ? std::nullopt : std::optional(Row);
}

} // namespace hemlockspar
