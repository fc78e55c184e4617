#include "mesh/InstancePicker.h"

#include "mesh/placement/ServerPace.h"

#include <algorithm>
#include <cmath>

namespace hemlockspar {

namespace {

/// Expected round-trip times in seconds; the inter-region value is based on the
/// platform's sites.
constexpr double SameDataCenterRttSeconds = 0.0005;
constexpr double SameRegionRttSeconds = 0.002;
constexpr double OtherRegionRttSeconds = 0.06;

/// Inter-region traffic is billed by the byte: a request leaves the region only
/// when this saves at least this much waiting time, in seconds.
constexpr double OtherRegionSurchargeSeconds = 0.15;

/// What a large response costs on its way, by its size: it leaves the region or
/// the data centre only when this saves at least as much waiting time, in
/// seconds. For 90 KB these are 0.18 s and 0.018 s, bounded so that a wait of
/// the usual length of an objective still outweighs them.
constexpr double OtherRegionSecondsPerByte = 2e-6;
constexpr double OtherDataCenterSecondsPerByte = 2e-7;
constexpr double MaxSizeSurchargeSeconds = 0.4;

/// Time constant for the decay of a reported load, in seconds: about the length
/// of a request.
constexpr double LoadDecaySeconds = 0.4;

/// Costs are randomised by up to this fraction, so that daemons with the same
/// view do not all select the same instance.
constexpr double CostJitter = 0.1;

/// Assumed mean run time, in seconds, of an instance in another region before
/// its first load report. An instance in the same region is tried at once
/// instead, so that it receives its share.
constexpr double UnknownMeanSeconds = 0.2;

/// Smoothing weights of a new run time in the mean of a route (over some dozens
/// of runs) and in the relative run time of an instance (over about ten runs).
constexpr double RouteMeanWeight = 0.03;
constexpr double RelativeRunTimeWeight = 0.1;

/// Relative run times are clamped to this factor above or below the mean.
constexpr double MaxRelativeRunTime = 6.0;

/// Time for which an unreachable instance is excluded after the first failure;
/// doubled on each further failure up to the maximum.
constexpr auto InitialExclusion = std::chrono::milliseconds(250);
constexpr auto MaxExclusion = std::chrono::milliseconds(2000);

/// Time for which an unavailable backend server is excluded; its row tells when
/// the state lasts longer.
constexpr auto UnavailableExclusion = std::chrono::milliseconds(400);

/// A sender that was refused by a cold server tries it again after at least
/// this time, or the stated wait, times a random factor up to the maximum.
constexpr auto MinColdExclusion = std::chrono::milliseconds(200);
constexpr double MaxColdSpread = 3;

double seconds(Duration Span) {
  return std::chrono::duration<double>(Span).count();
}

} // namespace

InstancePicker::InstancePicker(std::string Region, std::string DataCenter,
                               std::uint64_t Seed)
    : Region(std::move(Region)), DataCenter(std::move(DataCenter)),
      Random(Seed) {}

std::optional<InstanceId>
InstancePicker::pick(const MeshView &View, const std::string &Service,
                     const std::string &RouteName,
                     const std::set<InstanceId> &Tried, TimePoint Now,
                     const Filter &MayUse, double LargeResponseBytes) {
  const InstanceRow *Best = nullptr;
  double BestCost = 0;
  auto FoundRoute = this->MeanRouteSeconds.find(RouteName);
  double RouteMean = FoundRoute == this->MeanRouteSeconds.end()
                         ? UnknownMeanSeconds
                         : FoundRoute->second;

  for (const auto &[Name, Row] : View.instances()) {
    bool Eligible = Row.Service == Service && Row.State == ServerState::Ready &&
                    !Tried.contains(Name) && !this->isSuspect(Name, Now) &&
                    !View.isEvacuated(Row.DataCenter) &&
                    (!MayUse || MayUse(Row)) &&
                    !this->isTooCold(View, Row, Now);
    if (!Eligible) {
      continue;
    }
    double Cost = this->expectedCost(Row, RouteMean, Now);
    if (LargeResponseBytes > 0) {
      Cost += this->linkCost(Row, LargeResponseBytes, Now);
    }
    if (!Best || Cost < BestCost) {
      Best = &Row;
      BestCost = Cost;
    }
  }
  if (!Best) {
    return std::nullopt;
  }

  // Until the instance is known to be reachable again, probe it with one
  // request at a time.
  InstancePicker::InstanceStats &Selected = this->Stats[Best->Instance];
  if (Selected.Failures > 0) {
    Selected.SuspectUntil = Now + InitialExclusion;
  }
  return Best->Instance;
}

bool InstancePicker::isTooCold(const MeshView &View, const InstanceRow &Row,
                               TimePoint Now) {
  InstanceStats &Entry = this->Stats[Row.Instance];
  bool Restarted =
      !Entry.Incarnation.Id.empty() && Entry.Incarnation != Row.Incarnation;
  Entry.Incarnation = Row.Incarnation;

  const ConfigurationPtr &Active = View.configuration();
  if (Restarted && Active) {
    auto Declared = Active->Services.find(Row.Service);
    bool Limited = Declared != Active->Services.end() &&
                   Declared->second.ColdRequestsPerSecond > 0;
    if (Limited) {
      std::uniform_real_distribution<double> Share(0, 1);
      Entry.ColdUntil =
          Now + std::chrono::duration_cast<Duration>(
                    Declared->second.ColdStart * Share(this->Random));
    }
  }
  return Now < Entry.ColdUntil;
}

void InstancePicker::onCold(const InstanceId &Instance, Duration Wait,
                            TimePoint Now) {
  std::uniform_real_distribution<double> Spread(1, MaxColdSpread);
  Duration Least = std::max<Duration>(Wait, MinColdExclusion);
  this->Stats[Instance].ColdUntil =
      Now + std::chrono::duration_cast<Duration>(Least * Spread(this->Random));
}

double InstancePicker::expectedCost(const InstanceRow &Row, double RouteSeconds,
                                    TimePoint Now) {
  InstanceStats &Entry = this->Stats[Row.Instance];
  bool HasLoad = Entry.Load.MeanRunTime > Duration::zero();
  bool InOwnRegion = Row.Region == this->Region;
  double Mean = HasLoad       ? seconds(Entry.Load.MeanRunTime)
                : InOwnRegion ? 0
                              : UnknownMeanSeconds;
  double RelativeTime = Entry.RelativeRunTime > 0 ? Entry.RelativeRunTime : 1.0;
  double Run = HasLoad       ? RouteSeconds * RelativeTime
               : InOwnRegion ? 0
                             : RouteSeconds;
  bool PaceKnown =
      Entry.Load.Pace > 0 && Now - Entry.LoadReceivedAt <= MaxPaceAge;
  double Pace = PaceKnown ? Entry.Load.Pace : 1;
  Mean *= Pace;
  Run *= Pace;
  double Slots = std::max<double>(Row.Slots, 1);

  double Decay = std::exp(-std::max(seconds(Now - Entry.LoadReceivedAt), 0.0) /
                          LoadDecaySeconds);
  double ReportedLoad = (Entry.Load.Running + Entry.Load.Waiting) * Decay;
  double Ahead = std::max<double>(ReportedLoad, Entry.InFlight);
  double Wait = std::max(Ahead + 1 - Slots, 0.0) * Mean / Slots;

  // Backend servers slow down when nearly full.
  double Slowdown = 0.2 * Run * std::min(Ahead / Slots, 1.0);

  double RoundTrip =
      Row.DataCenter == this->DataCenter ? SameDataCenterRttSeconds
      : InOwnRegion                      ? SameRegionRttSeconds
                    : OtherRegionRttSeconds + OtherRegionSurchargeSeconds;
  std::uniform_real_distribution<double> Jitter(1.0, 1.0 + CostJitter);
  return (RoundTrip + Wait + Run + Slowdown) * Jitter(this->Random);
}

double InstancePicker::linkCost(const InstanceRow &Row, double ResponseBytes,
                                TimePoint Now) const {
  bool InOwnDataCenter = Row.DataCenter == this->DataCenter;
  double PerByte = Row.Region != this->Region ? OtherRegionSecondsPerByte
                   : InOwnDataCenter          ? 0
                                              : OtherDataCenterSecondsPerByte;
  double Surcharge = std::min(PerByte * ResponseBytes, MaxSizeSurchargeSeconds);
  auto Found = this->Stats.find(Row.Instance);
  if (Found == this->Stats.end()) {
    return Surcharge;
  }
  const InstanceStats &Entry = Found->second;
  double Decay = std::exp(-std::max(seconds(Now - Entry.LoadReceivedAt), 0.0) /
                          LoadDecaySeconds);
  return Surcharge + seconds(Entry.Load.LinkBacklog) * Decay;
}

void InstancePicker::onRequestSent(const InstanceId &Instance) {
  ++this->Stats[Instance].InFlight;
}

void InstancePicker::onRequestEnded(const InstanceId &Instance) {
  InstanceStats &Entry = this->Stats[Instance];
  Entry.InFlight -= Entry.InFlight > 0 ? 1 : 0;
}

void InstancePicker::onLoadReported(const InstanceId &Instance,
                                    const ServerLoad &Load, TimePoint Now) {
  InstanceStats &Entry = this->Stats[Instance];
  Entry.Load = Load;
  Entry.LoadReceivedAt = Now;
}

void InstancePicker::recordRunTime(const InstanceId &Instance,
                                   const std::string &RouteName, Duration Run) {
  double RunSeconds = seconds(Run);
  if (RunSeconds <= 0) {
    return;
  }
  double &RouteMean =
      this->MeanRouteSeconds.emplace(RouteName, RunSeconds).first->second;
  RouteMean += RouteMeanWeight * (RunSeconds - RouteMean);

  // Use clamped relative values: run times vary several-fold on every route, so
  // that a single long run means little.
  double Relative = std::clamp(RunSeconds / RouteMean, 1 / MaxRelativeRunTime,
                               MaxRelativeRunTime);
  InstanceStats &Entry = this->Stats[Instance];
  Entry.RelativeRunTime +=
      (Entry.RelativeRunTime > 0 ? RelativeRunTimeWeight : 1.0) *
      (Relative - Entry.RelativeRunTime);
}

void InstancePicker::onUnreachable(const InstanceId &Instance, TimePoint Now) {
  InstanceStats &Entry = this->Stats[Instance];
  auto Exclusion =
      InitialExclusion * (1 << std::min<std::uint32_t>(Entry.Failures, 3));
  ++Entry.Failures;
  Entry.SuspectUntil = Now + std::min(Exclusion, MaxExclusion);
}

void InstancePicker::onReachable(const InstanceId &Instance) {
  this->Stats[Instance].Failures = 0;
}

void InstancePicker::onUnavailable(const InstanceId &Instance, TimePoint Now) {
  this->Stats[Instance].SuspectUntil = Now + UnavailableExclusion;
}

bool InstancePicker::isSuspect(const InstanceId &Instance,
                               TimePoint Now) const {
  auto Found = this->Stats.find(Instance);
  return Found != this->Stats.end() && Now < Found->second.SuspectUntil;
}

} // namespace hemlockspar
