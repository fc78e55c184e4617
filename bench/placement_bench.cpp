#include "bench/BenchSupport.h"
#include "bench/PlacementModel.h"

#include "stand_ins/Quantiles.h"

#include <gflags/gflags.h>

DEFINE_uint32(minutes, 30, "simulated minutes of each run");
DEFINE_uint32(seeds, 5, "number of runs of each case, each with its own seed");

using namespace hemlockspar;

namespace {

Json::Value runCase(PlacementMethod Method, PlacementScenario Scenario) {
  Quantiles Imbalance;
  double Sum = 0;
  double Moved = 0;
  double Overloaded = 0;

  for (std::uint32_t Seed = 1; Seed <= FLAGS_seeds; ++Seed) {
    PlacementModel Model(Method, Scenario, Seed);
    PlacementResult Result = Model.run(std::chrono::minutes(FLAGS_minutes));
    for (double Value : Result.Imbalance) {
      Imbalance.add(Value);
      Sum += Value;
    }
    Moved += Result.SlotsMovedPerMinute / FLAGS_seeds;
    Overloaded += Result.OverloadedShare / FLAGS_seeds;
  }

  Json::Value Row;
  Row["method"] = nameOf(Method);
  Row["scenario"] = nameOf(Scenario);
  Row["imbalance_mean"] = Sum / double(Imbalance.count());
  Row["imbalance_p50"] = Imbalance.at(0.5);
  Row["imbalance_p95"] = Imbalance.at(0.95);
  Row["slots_moved_per_minute"] = Moved;
  Row["overloaded_share"] = Overloaded;
  return Row;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage(
      "measures imbalance and slot moves of the placement methods, "
      "in simulated time");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);

  Json::Value Report;
  for (auto Scenario : {PlacementScenario::Steady, PlacementScenario::HotKeys,
                        PlacementScenario::Churn}) {
    for (auto Method : {PlacementMethod::Rendezvous, PlacementMethod::FewMoves,
                        PlacementMethod::Peak}) {
      Report["runs"].append(runCase(Method, Scenario));
    }
  }
  writeReport("placement", Report);
  return 0;
}
