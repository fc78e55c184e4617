#include "daemon/BackendMonitor.h"

#include "core/Json.h"

namespace hemlockspar {

namespace {

constexpr std::uint64_t MaxCapacity = 100000;
constexpr std::uint64_t MaxRunLimitMs = 600000;

bool boolOr(const Json::Value &Value, const char *Name, bool Default) {
  return Value[Name].isBool() ? Value[Name].asBool() : Default;
}

} // namespace

absl::StatusOr<BackendAnnouncement>
BackendAnnouncement::fromJson(const Json::Value &Value) {
  if (!Value.isObject()) {
    return absl::InvalidArgumentError("the announcement must be a JSON object");
  }

  BackendAnnouncement Result;
  Result.Service = getString(Value, "service");
  if (Result.Service.empty()) {
    return absl::InvalidArgumentError("service: must be a non-empty string");
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
  if (Result.MaxRunMs > MaxRunLimitMs) {
    return absl::InvalidArgumentError("max_run_ms: must be at most 600000");
  }

  Result.ChecksGrants = boolOr(Value, "checks_grants", true);
  Result.Draining = boolOr(Value, "draining", false);
  return Result;
}

void BackendMonitor::onAnnouncement(const BackendAnnouncement &Announcement,
                                    TimePoint Now) {
  this->LatestAnnouncement = Announcement;
  this->AnnouncedAt = Now;
  this->Unreachable = false;
}

bool BackendMonitor::isAlive(TimePoint Now) const {
  return this->LatestAnnouncement && !this->Unreachable &&
         Now - this->AnnouncedAt < AnnouncementTimeout;
}

BackendStatus BackendMonitor::status(TimePoint Now) const {
  BackendStatus State;

  if (this->LatestAnnouncement) {
    State.Server = this->LatestAnnouncement->Server;
    State.Capacity = this->LatestAnnouncement->Capacity;
    State.ChecksGrants = this->LatestAnnouncement->ChecksGrants;
    State.MaxRunTime =
        std::chrono::milliseconds(this->LatestAnnouncement->MaxRunMs);
    State.Lost = !this->isAlive(Now);
    State.Serving = this->isAlive(Now) && !this->LatestAnnouncement->Draining;
  }
  return State;
}

BackendState BackendMonitor::placementState(TimePoint Now) const {
  BackendState State;

  if (this->LatestAnnouncement) {
    State.Service = this->LatestAnnouncement->Service;
    State.Capacity = this->LatestAnnouncement->Capacity;
    State.Serving = this->isAlive(Now) && !this->LatestAnnouncement->Draining;
  }
  return State;
}

std::uint64_t BackendMonitor::takeoverDelayMs() const {
  bool Checks =
      !this->LatestAnnouncement || this->LatestAnnouncement->ChecksGrants;
  return Checks ? 0 : this->LatestAnnouncement->MaxRunMs;
}

} // namespace hemlockspar
