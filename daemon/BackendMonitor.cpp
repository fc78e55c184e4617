#include "daemon/BackendMonitor.h"

#include "core/Json.h"

namespace hemlockspar {

namespace {

constexpr std::uint64_t MaxCapacity = 100000;
constexpr std::uint64_t LongestRunMs = 600000;

bool boolOr(const Json::Value &Value, const char *Name, bool Default) {
  return Value[Name].isBool() ? Value[Name].asBool() : Default;
}

} // namespace

absl::StatusOr<BackendAnnouncement>
BackendAnnouncement::fromJson(const Json::Value &Value) {
  if (!Value.isObject()) {
    return absl::InvalidArgumentError("the announcement must be an object");
  }

  BackendAnnouncement Result;
  Result.Service = getString(Value, "service");
  if (Result.Service.empty()) {
    return absl::InvalidArgumentError("service: must be a name");
  }

  boost::system::error_code Error;
  bool HasAddress =
      Address::fromText(getString(Value, "address"), Result.Server);
  if (HasAddress) {
    Result.Server.toEndpoint(Error);
  }
  if (!HasAddress || Error) {
    return absl::InvalidArgumentError(
        "address: must be an IP address and a port");
  }

  std::uint64_t Capacity = getUnsigned(Value, "capacity");
  if (Capacity < 1 || Capacity > MaxCapacity) {
    return absl::InvalidArgumentError(
        "capacity: must be a whole number from 1 to 100000");
  }
  Result.Capacity = static_cast<std::uint32_t>(Capacity);

  Result.MaxRunMs = getUnsigned(Value, "max_run_ms");
  if (Result.MaxRunMs > LongestRunMs) {
    return absl::InvalidArgumentError("max_run_ms: must be at most 600000");
  }

  Result.ChecksGrants = boolOr(Value, "checks_grants", true);
  Result.Draining = boolOr(Value, "draining", false);
  return Result;
}

void BackendMonitor::onAnnouncement(const BackendAnnouncement &Announced,
                                    TimePoint Now) {
  this->Latest = Announced;
  this->AnnouncedAt = Now;
  this->RefusedConnections = false;
}

bool BackendMonitor::alive(TimePoint Now) const {
  return this->Latest && !this->RefusedConnections &&
         Now - this->AnnouncedAt < AnnouncementLife;
}

BackendChanged BackendMonitor::state(TimePoint Now) const {
  BackendChanged State;

  if (this->Latest) {
    State.Server = this->Latest->Server;
    State.Capacity = this->Latest->Capacity;
    State.ChecksGrants = this->Latest->ChecksGrants;
    State.MaxRun = std::chrono::milliseconds(this->Latest->MaxRunMs);
    State.Lost = !this->alive(Now);
    State.Serving = this->alive(Now) && !this->Latest->Draining;
  }
  return State;
}

BackendState BackendMonitor::placementState(TimePoint Now) const {
  BackendState State;

  if (this->Latest) {
    State.Service = this->Latest->Service;
    State.Capacity = this->Latest->Capacity;
    State.Serving = this->alive(Now) && !this->Latest->Draining;
  }
  return State;
}

std::uint64_t BackendMonitor::takeoverDelayMs() const {
  bool Checks = !this->Latest || this->Latest->ChecksGrants;
  return Checks ? 0 : this->Latest->MaxRunMs;
}

} // namespace hemlockspar
