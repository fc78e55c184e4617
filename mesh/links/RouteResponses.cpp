#include "mesh/links/RouteResponses.h"

#include "mesh/links/LinkBudget.h"

#include <algorithm>

namespace hemlockspar {

namespace {

/// Responses of a route before anything is expected of the next one.
constexpr std::uint32_t MinResponses = 5;

/// Smoothing weight of a new response in the means of its route. The first
/// responses have more weight, as each mean starts as a plain average.
constexpr double MeanWeight = 0.05;

/// A route with large responses counts as one with small responses again when
/// the mean falls below this fraction of LargeBodyBytes.
constexpr double SmallAgainShare = 0.75;

/// Routes that are remembered. Names come from other daemons, so their number
/// is bounded; configurations have far fewer routes.
constexpr std::size_t MaxRoutes = 1024;

} // namespace

void RouteResponses::record(const std::string &RouteName, std::uint64_t Bytes,
                            Duration RunTime) {
  auto Found = this->Routes.find(RouteName);
  if (Found == this->Routes.end()) {
    if (this->Routes.size() >= MaxRoutes) {
      return;
    }
    Found = this->Routes.emplace(RouteName, Entry()).first;
  }

  Entry &Known = Found->second;
  Known.Count += Known.Count < MinResponses ? 1 : 0;
  bool Averaging = Known.Count < MinResponses;
  double Weight = Averaging ? 1.0 / Known.Count : MeanWeight;
  ResponseEstimate &Mean = Known.Mean;
  Mean.Bytes += Weight * (static_cast<double>(Bytes) - Mean.Bytes);
  if (RunTime > Duration::zero()) {
    Mean.RunTime +=
        std::chrono::duration_cast<Duration>(Weight * (RunTime - Mean.RunTime));
  }

  double Bound = static_cast<double>(LargeBodyBytes);
  Mean.Large = Mean.Bytes > (Mean.Large ? Bound * SmallAgainShare : Bound);
}

ResponseEstimate RouteResponses::estimate(const std::string &RouteName) const {
  auto Found = this->Routes.find(RouteName);
  bool Known =
      Found != this->Routes.end() && Found->second.Count >= MinResponses;
  return Known ? Found->second.Mean : ResponseEstimate();
}

} // namespace hemlockspar
