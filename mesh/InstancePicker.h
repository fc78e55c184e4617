#pragma once

#include "mesh/MeshView.h"
#include "mesh/ServerLoad.h"

#include <random>
#include <set>

namespace hemlockspar {

/// Selects the instance for a request of a service without key ownership: the
/// one with the lowest expected response time. Other regions carry a surcharge,
/// since their links are slow and traffic is billed by the byte. Reported loads
/// arrive with responses and decay over time; an instance that is busier than
/// estimated refuses the request and the next one is tried. The speed of an
/// instance is judged by its run times relative to other instances on the same
/// route, so that an instance serving short requests does not appear faster.
/// Unreachable instances are excluded and probed with one request at a time.
/// Performs no I/O.
class InstancePicker {
public:
  InstancePicker(std::string Region, std::string DataCenter,
                 std::uint64_t Seed);

  /// Restricts the choice to instances for which it returns true.
  using Filter = std::function<bool(const InstanceRow &Row)>;

  /// Selects an instance for a request of \p Service on the route \p RouteName
  /// that \p MayUse allows, excluding those in \p Tried and in evacuated data
  /// centres. Empty when no instance is eligible. \p LargeResponseBytes is the
  /// expected size of the response when that is large for a link, 0 otherwise.
  std::optional<InstanceId>
  pick(const MeshView &View, const std::string &Service,
       const std::string &RouteName, const std::set<InstanceId> &Tried,
       TimePoint Now, const Filter &MayUse = {}, double LargeResponseBytes = 0);

  void onRequestSent(const InstanceId &Instance);
  void onRequestEnded(const InstanceId &Instance);

  /// \p Instance reported its load.
  void onLoadReported(const InstanceId &Instance, const ServerLoad &Load,
                      TimePoint Now);

  /// A request of \p RouteName occupied a slot of \p Instance for \p Run.
  void recordRunTime(const InstanceId &Instance, const std::string &RouteName,
                     Duration Run);

  /// A connection to \p Instance could not be established.
  void onUnreachable(const InstanceId &Instance, TimePoint Now);
  void onReachable(const InstanceId &Instance);

  /// The backend server of \p Instance is cold and takes its next request in
  /// about \p Wait. Spreads the next tries of all senders over the time after
  /// that, so that they do not all return to one server.
  void onCold(const InstanceId &Instance, Duration Wait, TimePoint Now);

  /// The backend server of \p Instance accepts no requests at present.
  void onUnavailable(const InstanceId &Instance, TimePoint Now);

  bool isSuspect(const InstanceId &Instance, TimePoint Now) const;

private:
  struct InstanceStats {
    std::uint32_t InFlight = 0;
    std::uint32_t Failures = 0;
    TimePoint SuspectUntil;
    ServerLoad Load;
    TimePoint LoadReceivedAt;

    /// Not chosen before, since the server is cold.
    TimePoint ColdUntil;

    /// The incarnation of the server that was last seen in the row.
    ServerIncarnation Incarnation;

    /// Run time relative to the mean of the same route, smoothed; 0 before the
    /// first request.
    double RelativeRunTime = 0;
  };

  bool isTooCold(const MeshView &View, const InstanceRow &Row, TimePoint Now);
  double expectedCost(const InstanceRow &Row, double RouteSeconds,
                      TimePoint Now);
  double linkCost(const InstanceRow &Row, double ResponseBytes,
                  TimePoint Now) const;

  std::string Region;
  std::string DataCenter;
  std::mt19937_64 Random;
  std::map<InstanceId, InstanceStats> Stats;

  /// Mean run time of each route over all instances, in seconds.
  std::map<std::string, double> MeanRouteSeconds;
};

} // namespace hemlockspar
