#pragma once

#include "core/Clock.h"

#include <string>
#include <unordered_map>

namespace hemlockspar {

/// How long runs of a route occupy a slot.
struct RunTime {
  Duration Mean{};

  /// Mean absolute deviation from the mean.
  Duration Deviation{};

  /// Number of runs from which it was learned; 0 when the route is unknown and
  /// the figures are those of all routes together.
  std::uint64_t Samples = 0;
};

/// Learns the mean and the dispersion of run times by route. Handles mixed long
/// and short work: a mean over all routes overstates the wait behind short
/// requests and understates it behind long ones. Performs no I/O.
class RunTimes {
public:
  /// Further routes share one entry.
  static constexpr std::size_t MaxRoutes = 1024;

  void record(const std::string &RouteName, Duration Elapsed);
  RunTime of(const std::string &RouteName) const;

private:
  struct Estimate {
    double Mean = 0;
    double Deviation = 0;
    std::uint64_t Samples = 0;

    void add(double Seconds);
    RunTime value() const;
  };

  std::unordered_map<std::string, Estimate> Routes;
  Estimate All;
};

} // namespace hemlockspar
