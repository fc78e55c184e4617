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
  this->LastReportAt = Now;
  if (Report.Incarnation != this->LastReport.Incarnation) {
    this->LeavingSince.reset();
    this->FirstSequenceAfterEvidence = 0;
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

void LocalServer::assumeCold(TimePoint Now) {
  this->ColdUntil = TimePoint::max();
  this->AssumedColdAt = Now;
  this->setFirstSequenceAfterEvidence(Now);
}

void LocalServer::onColdStated(const std::string &ServerId, Duration ColdLeft,
                               TimePoint AskedAt, TimePoint Now) {
  if (!this->HasReport || ServerId != this->LastReport.Incarnation.Id) {
    return;
  }
  bool Assumed = this->ColdUntil == TimePoint::max();
  if (Assumed && AskedAt < this->AssumedColdAt) {
    return;
  }
  bool Cold = ColdLeft > Duration::zero();
  TimePoint Stated = Cold ? Now + ColdLeft : NeverCold;
  this->ColdUntil = Assumed ? Stated : std::max(this->ColdUntil, Stated);
  if (Cold) {
    this->setFirstSequenceAfterEvidence(Now);
  }
}

void LocalServer::setFirstSequenceAfterEvidence(TimePoint Now) {
  if (!this->HasReport) {
    this->FirstSequenceAfterEvidence = 0;
    return;
  }
  // Reports that were due by now may still be on their way.
  Duration Interval = std::max<Duration>(this->Config.HeartbeatInterval,
                                         std::chrono::milliseconds(1));
  auto Due = static_cast<std::uint64_t>(
      std::max<Duration>(Now - this->LastReportAt, Duration::zero()) /
      Interval);
  this->FirstSequenceAfterEvidence = this->LastReport.Sequence + Due + 2;
}

bool LocalServer::mayPrecedeEvidence(const ServerReport &Report) const {
  return Report.Incarnation == this->LastReport.Incarnation &&
         Report.Sequence < this->FirstSequenceAfterEvidence;
}

TimePoint LocalServer::coldUntilAfter(const ServerReport &Report,
                                      TimePoint Now) const {
  if (Report.ColdLeft) {
    bool Cold = *Report.ColdLeft > Duration::zero();
    TimePoint Stated = Cold ? Now + *Report.ColdLeft : NeverCold;
    return this->mayPrecedeEvidence(Report) ? std::max(this->ColdUntil, Stated)
                                            : Stated;
  }
  if (this->mayPrecedeEvidence(Report)) {
    return this->ColdUntil;
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

void LocalServer::onConnectionRefused(TimePoint Now) {
  this->ConnectionRefused = true;
  this->assumeCold(Now);
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
