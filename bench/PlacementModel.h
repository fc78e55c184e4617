#pragma once

#include "coordination/LoadMeter.h"
#include "coordination/SlotBalancer.h"

#include <random>
#include <vector>

namespace hemlockspar {

/// Slot placement method of a simulation run.
enum class PlacementMethod {
  /// Rendezvous hashing: each slot goes to the instance with the highest hash,
  /// regardless of load.
  Rendezvous,
  FewMoves,
  Peak,
};

/// Name of \p Method in reports.
const char *nameOf(PlacementMethod Method);

/// How demand and instances change during a simulation run.
enum class PlacementScenario {
  /// Demand for each key stays the same.
  Steady,
  /// Ten keys receive 30% of the demand; each minute ten others are chosen.
  HotKeys,
  /// As HotKeys, and every other minute an instance leaves for a minute.
  Churn,
};

/// Name of \p Scenario in reports.
const char *nameOf(PlacementScenario Scenario);

/// Results of a simulation run.
struct PlacementResult {
  /// Highest load of an instance divided by the mean of all that accept slots,
  /// sampled once per second.
  std::vector<double> Imbalance;
  double SlotsMovedPerMinute = 0;

  /// Share of the seconds in which the demand of some instance exceeded its
  /// capacity.
  double OverloadedShare = 0;
};

/// Simulates instances that own slots and move them with the Balancer of the
/// daemons. Time is simulated and there are no requests: each slot adds its
/// share of the demand to its owner.
class PlacementModel {
public:
  PlacementModel(PlacementMethod Method, PlacementScenario Scenario,
                 std::uint64_t Seed);

  /// Runs for \p Length after a settling time.
  PlacementResult run(std::chrono::minutes Length);

private:
  struct Instance {
    explicit Instance(PlacementPreference Preference) : Balancer(Preference) {}

    SlotBalancer Balancer;
    LoadMeter Meter;
    OwnLoad Load;
    SlotsByKeyspace Owned;
    bool Accepting = true;
  };

  void simulateSecond(int Second);
  void drawDemand();
  void placeInitially();
  void placeByHash();
  void setAccepting(std::size_t Index, bool Accepting);
  void drainInstance(std::size_t Index);
  void measureLoad();
  void rebalance(std::size_t Index);
  void move(SlotIndex Slot, std::size_t To);
  std::size_t instanceWithHighestHash(SlotIndex Slot) const;
  std::size_t instanceWithFewestSlots() const;
  LoadStatus statusOf(std::size_t Index) const;
  void recordSample(PlacementResult &Result) const;

  PlacementMethod Method;
  PlacementScenario Scenario;
  std::mt19937_64 Random;
  TimePoint Now;
  std::vector<Instance> Instances;
  std::vector<std::size_t> OwnerOf;

  /// Mean number of concurrent requests of each slot.
  std::vector<double> Demand;
  std::size_t MoveCount = 0;
};

} // namespace hemlockspar
