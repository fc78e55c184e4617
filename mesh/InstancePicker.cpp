#include "mesh/InstancePicker.h"

#include <algorithm>
#include <cmath>

namespace hemlockspar {

namespace {

/// Expected ways there and back, in seconds; between regions from the
/// platform's sites.
constexpr double SameDataCenter = 0.0005;
constexpr double SameRegion = 0.002;
constexpr double OtherRegion = 0.06;

/// Bytes between regions are dear: a request goes there when it saves at least
/// this much waiting, in seconds.
constexpr double OtherRegionSurcharge = 0.15;

/// A load told by an instance loses its meaning with this time constant, in
/// seconds: about the length of a request.
constexpr double LoadFade = 0.4;

/// Costs are varied by up to this share, so that instances with the same view
/// do not all choose the same one.
constexpr double Spread = 0.1;

/// Assumed of an instance in another region until a first load was told. One
/// in the same region is tried at once instead, so that it gets its part.
constexpr double UnknownMean = 0.2;

/// Weights of a new run in a route's mean and in an instance's pace: over some
/// dozens and some ten runs.
constexpr double RouteWeight = 0.03;
constexpr double PaceWeight = 0.1;

/// A run counts as at most this many times slower, or faster, than usual.
constexpr double MostPace = 6.0;

/// An instance that could not be reached is left alone this long at first, and
/// twice as long after each failure up to the longest.
constexpr auto FirstSuspicion = std::chrono::milliseconds(250);
constexpr auto LongestSuspicion = std::chrono::milliseconds(2000);

/// A backend server that cannot be sent requests is left alone this long; its
/// row says when that lasts.
constexpr auto UnavailablePause = std::chrono::milliseconds(400);

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
                     const std::set<InstanceId> &Tried, TimePoint Now) {
  const InstanceRow *Best = nullptr;
  double BestCost = 0;
  auto Known = this->MeanRouteSeconds.find(RouteName);
  double Usual =
      Known == this->MeanRouteSeconds.end() ? UnknownMean : Known->second;

  for (const auto &[Name, Row] : View.instances()) {
    bool Fits = Row.Service == Service && Row.State == ServerState::Ready &&
                !Tried.contains(Name) && !this->isSuspect(Name, Now);
    if (!Fits) {
      continue;
    }
    double Cost = this->expectedCost(Row, Usual, Now);
    if (!Best || Cost < BestCost) {
      Best = &Row;
      BestCost = Cost;
    }
  }
  if (!Best) {
    return std::nullopt;
  }

  // While it is not known to answer again, one request at a time finds out.
  InstancePicker::InstanceStats &Chosen = this->Stats[Best->Instance];
  if (Chosen.Failures > 0) {
    Chosen.SuspectUntil = Now + FirstSuspicion;
  }
  return Best->Instance;
}

double InstancePicker::expectedCost(const InstanceRow &Row, double RouteSeconds,
                                    TimePoint Now) {
  InstanceStats &Seen = this->Stats[Row.Instance];
  bool Told = Seen.Load.MeanRunTime > Duration::zero();
  bool Near = Row.Region == this->Region;
  double Mean = Told ? seconds(Seen.Load.MeanRunTime) : Near ? 0 : UnknownMean;
  double Pace = Seen.RelativeRunTime > 0 ? Seen.RelativeRunTime : 1.0;
  double Run = Told ? RouteSeconds * Pace : Near ? 0 : RouteSeconds;
  double Slots = std::max<double>(Row.Slots, 1);

  double Fade =
      std::exp(-std::max(seconds(Now - Seen.LoadReceivedAt), 0.0) / LoadFade);
  double Others = (Seen.Load.Running + Seen.Load.Waiting) * Fade;
  double Ahead = std::max<double>(Others, Seen.InFlight);
  double Wait = std::max(Ahead + 1 - Slots, 0.0) * Mean / Slots;

  // Nearly full backend servers slow down.
  double Crowding = 0.2 * Run * std::min(Ahead / Slots, 1.0);

  double Travel = Row.DataCenter == this->DataCenter ? SameDataCenter
                  : Near                             ? SameRegion
                         : OtherRegion + OtherRegionSurcharge;
  std::uniform_real_distribution<double> Vary(1.0, 1.0 + Spread);
  return (Travel + Wait + Run + Crowding) * Vary(this->Random);
}

void InstancePicker::onRequestSent(const InstanceId &Instance) {
  ++this->Stats[Instance].InFlight;
}

void InstancePicker::onRequestEnded(const InstanceId &Instance) {
  InstanceStats &Seen = this->Stats[Instance];
  Seen.InFlight -= Seen.InFlight > 0 ? 1 : 0;
}

void InstancePicker::onLoadReported(const InstanceId &Instance,
                                    const ServerLoad &Load, TimePoint Now) {
  InstanceStats &Seen = this->Stats[Instance];
  Seen.Load = Load;
  Seen.LoadReceivedAt = Now;
}

void InstancePicker::recordRunTime(const InstanceId &Instance,
                                   const std::string &RouteName, Duration Run) {
  double Took = seconds(Run);
  if (Took <= 0) {
    return;
  }
  double &Usual = this->MeanRouteSeconds.emplace(RouteName, Took).first->second;
  Usual += RouteWeight * (Took - Usual);

  // One long run says little: runs vary by several times on every route.
  double Relative = std::clamp(Took / Usual, 1 / MostPace, MostPace);
  InstanceStats &Seen = this->Stats[Instance];
  Seen.RelativeRunTime += (Seen.RelativeRunTime > 0 ? PaceWeight : 1.0) *
                          (Relative - Seen.RelativeRunTime);
}

void InstancePicker::onUnreachable(const InstanceId &Instance, TimePoint Now) {
  InstanceStats &Seen = this->Stats[Instance];
  auto Pause =
      FirstSuspicion * (1 << std::min<std::uint32_t>(Seen.Failures, 3));
  ++Seen.Failures;
  Seen.SuspectUntil = Now + std::min(Pause, LongestSuspicion);
}

void InstancePicker::onReachable(const InstanceId &Instance) {
  this->Stats[Instance].Failures = 0;
}

void InstancePicker::onUnavailable(const InstanceId &Instance, TimePoint Now) {
  this->Stats[Instance].SuspectUntil = Now + UnavailablePause;
}

bool InstancePicker::isSuspect(const InstanceId &Instance,
                               TimePoint Now) const {
  auto Place = this->Stats.find(Instance);
  return Place != this->Stats.end() && Now < Place->second.SuspectUntil;
}

} // namespace hemlockspar
