#include "mesh/LocalServer.h"

#include "core/EnumNames.h"
#include "mesh/placement/HomePolicy.h"

namespace hemlockspar {

namespace {

constexpr std::array<const char *, 4> ReportVerdictNames = {
    "taken", "older", "foreign", "premature"};

/// Fraction of the leave time during which a leaving backend server still
/// receives requests. The check is made immediately before a request is sent,
/// on the same machine.
constexpr double LeaveTimeShare = 0.85;

} // namespace

const char *nameOf(ReportVerdict Verdict) {
  return enumName(ReportVerdictNames, Verdict);
}

LocalServer::LocalServer(const MeshSettings &Config, const MeshView &View)
    : Config(Config), View(View) {}

void LocalServer::recover(const InstanceRow *Own,
                          const std::optional<ServerIncarnation> &Left) {
  this->Recovered = true;
  if (Own) {
    this->LastReport.Incarnation = Own->Incarnation;
    this->LastReport.Service = Own->Service;
    this->LastReport.Slots = Own->Slots;
  }
  bool Departed = Own && Own->State == ServerState::Leaving;
  if (Left && Left->StartedAt >= this->LastReport.Incarnation.StartedAt) {
    this->LastReport.Incarnation = *Left;
    Departed = true;
  }
  if (Departed) {
    this->LeavingSince = TimePoint::min();
  }
}

bool LocalServer::isForeign(const ServerReport &Report) const {
  const ConfigurationPtr &Active = this->View.configuration();
  bool Declared = Report.Service == this->Config.Service ||
                  (Active && Active->Services.contains(Report.Service));
  return !Declared ||
         Report.ServerAddress.Host != this->Config.ServerAddress.Host;
}

bool LocalServer::isOlder(const ServerReport &Report) const {
  if (!this->hasRow()) {
    return false;
  }
  if (Report.Incarnation == this->LastReport.Incarnation) {
    return this->HasReport && Report.Sequence <= this->LastReport.Sequence;
  }
  return Report.Incarnation.StartedAt < this->LastReport.Incarnation.StartedAt;
}

ReportVerdict LocalServer::applyReport(const ServerReport &Report,
                                       TimePoint Now) {
  if (!this->Recovered) {
    return ReportVerdict::Premature;
  }
  if (this->isForeign(Report)) {
    return ReportVerdict::Foreign;
  }
  if (this->isOlder(Report)) {
    return ReportVerdict::Older;
  }

  this->ColdUntil = this->coldUntilAfter(Report, Now);
  if (Report.Incarnation != this->LastReport.Incarnation) {
    this->LeavingSince.reset();
  }
  if (Report.Leaving && !this->LeavingSince) {
    this->LeavingSince = Now;
  }
  this->LastReport = Report;
  this->HasReport = true;
  this->ConnectionRefused = false;
  return ReportVerdict::Taken;
}

bool LocalServer::markLeaving(const std::string &ServerId, TimePoint Now) {
  if (this->LastReport.Incarnation.Id != ServerId) {
    return false;
  }
  if (!this->LeavingSince) {
    this->LeavingSince = Now;
  }
  return true;
}

TimePoint LocalServer::coldUntilAfter(const ServerReport &Report,
                                      TimePoint Now) const {
  if (Report.ColdLeft) {
    return *Report.ColdLeft > Duration::zero() ? Now + *Report.ColdLeft
                                               : NeverCold;
  }
  bool Unknown = Report.Incarnation != this->LastReport.Incarnation ||
                 this->ColdUntil == TimePoint::max();
  const ConfigurationPtr &Active = this->View.configuration();
  if (!Unknown || !Active) {
    return this->ColdUntil;
  }
  auto Declared = Active->Services.find(Report.Service);
  return Declared == Active->Services.end() ? NeverCold
                                            : Now + Declared->second.ColdStart;
}

void LocalServer::onConnectionRefused() {
  this->ConnectionRefused = true;
  this->assumeCold();
}

ServerState LocalServer::state() const {
  // A departure stays on record after the server's process has ended, since
  // late reports may still arrive.
  if (this->LeavingSince) {
    return ServerState::Leaving;
  }
  bool Present = this->HasReport && !this->ConnectionRefused;
  return Present ? ServerState::Ready : ServerState::Gone;
}

bool LocalServer::acceptsRequests(TimePoint Now) const {
  if (!this->HasReport || this->ConnectionRefused) {
    return false;
  }
  auto Span = std::chrono::duration_cast<Duration>(this->Config.LeaveTime *
                                                   LeaveTimeShare);
  return !this->LeavingSince || Now < *this->LeavingSince + Span;
}

bool LocalServer::isHomeOf(const std::string &RouteName) const {
  const ConfigurationPtr &Active = this->View.configuration();
  return !Active || isHomeRegion(*Active, RouteName, this->Config.Region);
}

const std::string &LocalServer::service() const {
  return this->HasReport ? this->LastReport.Service : this->Config.Service;
}

InstanceRow LocalServer::toRow() const {
  InstanceRow Row;
  Row.Instance = this->Config.Instance;
  Row.Region = this->Config.Region;
  Row.DataCenter = this->Config.DataCenter;
  Row.PeerAddress = this->Config.AdvertisedAddress;
  Row.Service = this->service();
  Row.Incarnation = this->LastReport.Incarnation;
  Row.Slots = this->LastReport.Slots;
  Row.State = this->state();
  return Row;
}

} // namespace hemlockspar
