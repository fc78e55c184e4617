#include "bench/BenchSupport.h"

#include "coordination/QueueDiscipline.h"
#include "core/Json.h"
#include "tests/integration/LoadThread.h"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_uint32(rounds, 3, "number of comparison rounds");
DEFINE_double(quiet_share, 0.35, "utilisation of the slots before the surge");
DEFINE_uint64(short_us, 10000, "service time of short requests in us");

using namespace hemlockspar;

namespace {

constexpr double LongShare = 0.02;
constexpr double LongWorkFactor = 50;
constexpr double SurgeFactor = 3;
constexpr auto BaseLoadTime = std::chrono::seconds(6);
constexpr auto SurgeTime = std::chrono::seconds(10);

/// A surge on top of a base load, with a few long requests and one key that
/// receives 30% of the requests.
LoadOptions surgeLoad(const Mesh &Cluster, std::uint32_t Slots,
                      std::uint64_t Seed) {
  double ShortSeconds = double(FLAGS_short_us) / 1e6;
  double MeanSeconds = ShortSeconds * (1 - LongShare) +
                       ShortSeconds * LongWorkFactor * LongShare;

  LoadOptions Options;
  Options.Targets = {Cluster.callerAddress(0)};
  Options.Keyspaces = {"menus"};
  Options.Keys = 1000;
  Options.HotShare = 0.3;
  Options.Connections = 400;
  Options.Rate = FLAGS_quiet_share * Slots / MeanSeconds;
  Options.SurgeFactor = SurgeFactor;
  Options.SurgeAt = BaseLoadTime;
  Options.Length = BaseLoadTime + SurgeTime;
  Options.ShortWorkUs = FLAGS_short_us;
  Options.LongWorkUs =
      static_cast<std::uint64_t>(double(FLAGS_short_us) * LongWorkFactor);
  Options.LongShare = LongShare;
  Options.Callers = 8;
  Options.TimeoutMs = 10000;
  Options.Seed = Seed;
  return Options;
}

Json::Value runOne(Mesh &Cluster, std::uint32_t Slots, QueueOrder Order,
                   std::uint64_t Seed) {
  Json::Value Body;
  Body["spec"]["queue"] = nameOf(Order);
  Json::Value Known =
      Cluster.getJson(Cluster.apiAddress(0), "/v1/policies/menus");
  std::uint64_t Version = getUnsigned(Known, "version");
  std::map<std::string, std::string> Condition =
      Version ? std::map<std::string, std::string>{{"If-Match",
                                                    std::to_string(Version)}}
              : std::map<std::string, std::string>{{"If-None-Match", "*"}};
  Cluster.put(Cluster.apiAddress(0), "/v1/policies/menus", Body, Condition);
  std::this_thread::sleep_for(std::chrono::seconds(1));

  LoadThread Load(surgeLoad(Cluster, Slots, Seed));
  LoadResult &Results = Load.finish();
  Json::Value Row = Results.toJson();
  Row["order"] = nameOf(Order);
  Row["slots"] = Slots;

  double Offered = 0;
  for (const auto &[Outcome, Count] : Results.Outcomes) {
    Offered += double(Count);
  }
  Row["answered_share"] = double(Results.Outcomes["answered"]) / Offered;
  return Row;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage("compares the queue disciplines at the owner");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);

  Json::Value Report;
  int Number = 72;

  for (std::uint32_t Slots : {6U, 20U}) {
    MeshOptions Options;
    Options.Instances = 1;
    Options.Regions = 1;
    Options.Capacity = Slots;
    Mesh Cluster(Number++, Options);
    if (!Cluster.start()) {
      std::cerr << "the mesh did not become ready\n";
      return 1;
    }
    for (std::uint32_t Round = 0; Round < FLAGS_rounds; ++Round) {
      for (QueueOrder Order : {QueueOrder::Fifo, QueueOrder::Classed}) {
        Report["runs"].append(runOne(Cluster, Slots, Order, Round + 1));
      }
    }
  }
  writeReport("queue", Report);
  return 0;
}
