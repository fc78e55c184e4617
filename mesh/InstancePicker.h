#pragma once

#include "mesh/MeshView.h"
#include "mesh/ServerLoad.h"

#include <random>
#include <set>

namespace hemlockspar {

/// Chooses which instance gets a request of a service whose keys are not
/// owned: the one that is expected to answer first, with a surcharge for other
/// regions, whose links are slow and paid by the byte. What is known of a load
/// comes with answers and fades; an instance that is more loaded than was
/// thought refuses, and the next one is asked. How fast an instance is shows in
/// its runs against those of others on the same route: one that happens to
/// serve short requests is no faster for it. Instances that cannot be reached
/// are left out, and tried again one request at a time. Free of I/O.
class InstancePicker {
public:
  InstancePicker(std::string Region, std::string DataCenter,
                 std::uint64_t Seed);

  /// The instance for a request of \p Service on the route \p RouteName; none
  /// of \p Tried. Nothing when there is none.
  std::optional<InstanceId> pick(const MeshView &View,
                                 const std::string &Service,
                                 const std::string &RouteName,
                                 const std::set<InstanceId> &Tried,
                                 TimePoint Now);

  void onRequestSent(const InstanceId &Instance);
  void onRequestEnded(const InstanceId &Instance);

  /// \p Instance told its load.
  void onLoadReported(const InstanceId &Instance, const ServerLoad &Load,
                      TimePoint Now);

  /// A request of \p RouteName held a slot of \p Instance for \p Run.
  void recordRunTime(const InstanceId &Instance, const std::string &RouteName,
                     Duration Run);

  /// No connection to \p Instance came about.
  void onUnreachable(const InstanceId &Instance, TimePoint Now);
  void onReachable(const InstanceId &Instance);

  /// Its backend server is not to be sent requests for now.
  void onUnavailable(const InstanceId &Instance, TimePoint Now);

  bool isSuspect(const InstanceId &Instance, TimePoint Now) const;

private:
  struct InstanceStats {
    std::uint32_t InFlight = 0;
    std::uint32_t Failures = 0;
    TimePoint SuspectUntil;
    ServerLoad Load;
    TimePoint LoadReceivedAt;

    /// Time of its runs over the usual time on their routes; 0 before the
    /// first.
    double RelativeRunTime = 0;
  };

  double expectedCost(const InstanceRow &Row, double RouteSeconds,
                      TimePoint Now);

  std::string Region;
  std::string DataCenter;
  std::mt19937_64 Random;
  std::map<InstanceId, InstanceStats> Stats;

  /// Mean time of a route's runs over all instances, in seconds.
  std::map<std::string, double> MeanRouteSeconds;
};

} // namespace hemlockspar
