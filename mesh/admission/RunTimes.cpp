#include "mesh/admission/RunTimes.h"

#include <algorithm>
#include <cmath>

namespace hemlockspar {

namespace {

/// Smoothing weight of a new sample.
constexpr double SampleWeight = 0.1;

/// Assumed until a run has been measured, in seconds.
constexpr double InitialMean = 0.2;

Duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace

void RunTimes::Estimate::add(double Seconds) {
  ++this->Samples;

  // The first samples count equally, so that one of them does not dominate.
  double Weight =
      std::max(SampleWeight, 1.0 / static_cast<double>(this->Samples));
  double Difference = Seconds - this->Mean;
  this->Mean += Weight * Difference;
  if (this->Samples > 1) {
    this->Deviation += Weight * (std::abs(Difference) - this->Deviation);
  }
}

RunTime RunTimes::Estimate::value() const {
  return {fromSeconds(this->Mean), fromSeconds(this->Deviation), this->Samples};
}

void RunTimes::record(const std::string &RouteName, Duration Elapsed) {
  double Seconds = std::chrono::duration<double>(Elapsed).count();
  this->All.add(Seconds);
  if (this->Routes.contains(RouteName) || this->Routes.size() < MaxRoutes) {
    this->Routes[RouteName].add(Seconds);
  }
}

RunTime RunTimes::of(const std::string &RouteName) const {
  auto Found = this->Routes.find(RouteName);
  if (Found != this->Routes.end()) {
    return Found->second.value();
  }
  if (this->All.Samples == 0) {
    return {fromSeconds(InitialMean), Duration::zero(), 0};
  }
  RunTime Typical = this->All.value();
  Typical.Samples = 0;
  return Typical;
}

} // namespace hemlockspar
