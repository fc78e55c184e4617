#include "mesh/LocalServer.h"

#include "core/EnumNames.h"

namespace hemlockspar {

namespace {

constexpr std::array<const char *, 3> ReportVerdictNames = {"taken", "older",
                                                            "foreign"};

/// Part of the time allowed for which a leaving backend server is still sent
/// requests: it is asked last thing before a request is sent, on the same
/// machine.
constexpr double LeaveShare = 0.85;

} // namespace

const char *nameOf(ReportVerdict Verdict) {
  return enumName(ReportVerdictNames, Verdict);
}

LocalServer::LocalServer(const MeshSettings &Config, const MeshView &View)
    : Config(Config), View(View) {}

bool LocalServer::isForeign(const ServerReport &Report) const {
  const ConfigurationPtr &InForce = this->View.configuration();
  bool Declared = Report.Service == this->Config.Service ||
                  (InForce && InForce->Services.contains(Report.Service));
  return !Declared || Report.At.Host != this->Config.Server.Host;
}

bool LocalServer::isOlder(const ServerReport &Report) const {
  if (!this->Reported) {
    return false;
  }
  if (Report.Run == this->Newest.Run) {
    return Report.Sequence <= this->Newest.Sequence;
  }
  return Report.Run.StartedAt < this->Newest.Run.StartedAt;
}

ReportVerdict LocalServer::take(const ServerReport &Report, TimePoint Now) {
  if (this->isForeign(Report)) {
    return ReportVerdict::Foreign;
  }
  if (this->isOlder(Report)) {
    return ReportVerdict::Older;
  }

  bool NewRun = !this->Reported || Report.Run != this->Newest.Run;
  if (NewRun) {
    this->LeavingSince.reset();
  }
  if (Report.Leaving && !this->LeavingSince) {
    this->LeavingSince = Now;
  }
  this->Newest = Report;
  this->Reported = true;
  this->Refused = false;
  return ReportVerdict::Taken;
}

bool LocalServer::leave(const std::string &ServerId, TimePoint Now) {
  if (!this->Reported || this->Newest.Run.Id != ServerId) {
    return false;
  }
  if (!this->LeavingSince) {
    this->LeavingSince = Now;
  }
  return true;
}

void LocalServer::onRefused() { this->Refused = true; }

ServerState LocalServer::state() const {
  if (!this->Reported || this->Refused) {
    return ServerState::Gone;
  }
  return this->LeavingSince ? ServerState::Leaving : ServerState::Ready;
}

bool LocalServer::takesRequests(TimePoint Now) const {
  if (this->state() == ServerState::Gone) {
    return false;
  }
  auto Span =
      std::chrono::duration_cast<Duration>(this->Config.LeaveTime * LeaveShare);
  return !this->LeavingSince || Now < *this->LeavingSince + Span;
}

const std::string &LocalServer::service() const {
  return this->Reported ? this->Newest.Service : this->Config.Service;
}

InstanceRow LocalServer::toRow() const {
  InstanceRow Row;
  Row.Instance = this->Config.Instance;
  Row.Region = this->Config.Region;
  Row.DataCenter = this->Config.DataCenter;
  Row.Inner = this->Config.Advertised;
  Row.Service = this->service();
  Row.Run = this->Newest.Run;
  Row.Slots = this->Newest.Slots;
  Row.State = this->state();
  return Row;
}

} // namespace hemlockspar
