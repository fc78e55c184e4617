#pragma once

#include "coordination/LoadMeter.h"
#include "coordination/SlotBalancer.h"

#include <random>
#include <vector>

namespace hemlockspar {

/// How slots are placed in a model run.
enum class PlacementMethod {
  /// Each slot goes to the instance with the greatest hash; load plays no part.
  Rendezvous,
  FewMoves,
  Peak,
};

/// Name of \p Method in reports.
const char *nameOf(PlacementMethod Method);

/// What happens to demand and instances in a model run.
enum class PlacementScenario {
  /// Demand for each key stays the same.
  Steady,
  /// Ten keys draw 30% of the demand; each minute they are ten others.
  HotKeys,
  /// As HotKeys, and every other minute an instance leaves for a minute.
  Churn,
};

/// Name of \p Scenario in reports.
const char *nameOf(PlacementScenario Scenario);

/// What came of a model run.
struct PlacementResult {
  /// Highest use of an instance over the mean of all that accept slots, once
  /// a second.
  std::vector<double> Imbalance;
  double SlotsMovedPerMinute = 0;

  /// Share of the seconds in which some instance was asked for more than it
  /// can run.
  double OverloadedShare = 0;
};

/// Instances that own slots and move them by the Balancer that daemons use,
/// in simulated time and without requests: each slot simply brings its share
/// of the demand.
class PlacementModel {
public:
  PlacementModel(PlacementMethod Method, PlacementScenario Scenario,
                 std::uint64_t Seed);

  /// Runs for \p Length after a time to settle.
  PlacementResult run(std::chrono::minutes Length);

private:
  struct Instance {
    explicit Instance(PlacementPreference Preference) : Balance(Preference) {}

    SlotBalancer Balance;
    LoadMeter Meter;
    OwnLoad Load;
    SlotsByKeyspace Owned;
    bool Accepting = true;
  };

  void second(int Second);
  void drawDemand();
  void placeAtFirst();
  void placeByHash();
  void setAccepting(std::size_t Index, bool Accepting);
  void giveUpSlots(std::size_t Index);
  void measureLoad();
  void balance(std::size_t Index);
  void move(SlotIndex Slot, std::size_t To);
  std::size_t greatestHash(SlotIndex Slot) const;
  std::size_t fewestSlots() const;
  LoadStatus statusOf(std::size_t Index) const;
  void note(PlacementResult &Result) const;

  PlacementMethod Method;
  PlacementScenario Scenario;
  std::mt19937_64 Random;
  TimePoint Now;
  std::vector<Instance> Instances;
  std::vector<std::size_t> OwnerOf;

  /// Requests that run at once for the slot, on average.
  std::vector<double> Demand;
  std::size_t Moves = 0;
};

} // namespace hemlockspar
