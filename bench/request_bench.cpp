#include "bench/BenchSupport.h"

#include "tests/integration/LoadThread.h"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_uint32(seconds, 5, "length of each load");
DEFINE_uint32(connections, 16, "connections of each load");
DEFINE_uint32(rounds, 3, "rounds of the whole comparison");
DEFINE_string(log_level, "info", "log level of the daemons");

using namespace hemlockspar;

namespace {

/// One way to the backend server under measurement.
struct Way {
  std::string Name;
  Address Target;

  /// Daemon whose processor time is charged; -1 for none.
  int Charged = -1;
};

LoadOptions loadFor(const Way &Measured, double Rate) {
  LoadOptions Options;
  Options.Targets = {Measured.Target};
  Options.Keyspaces = {"menus"};
  Options.Keys = 1;
  Options.Connections = FLAGS_connections;
  Options.Rate = Rate;
  Options.Length = std::chrono::seconds(FLAGS_seconds);
  return Options;
}

Json::Value runLoad(Mesh &Cluster, const Way &Measured, double Rate) {
  pid_t Charged =
      Measured.Charged < 0
          ? 0
          : Cluster.pidOf(Cluster.instances()[Measured.Charged].Name);
  double Before = Charged ? readProcessUsage(Charged).CpuSeconds : 0;

  LoadThread Load(loadFor(Measured, Rate));
  LoadResult &Told = Load.finish();
  double Cpu = Charged ? readProcessUsage(Charged).CpuSeconds - Before : 0;

  double Answered = double(Told.ShortMs.count());
  Json::Value Row;
  Row["way"] = Measured.Name;
  Row["offered_per_second"] = Rate;
  Row["answered_per_second"] = Answered / Told.Seconds;
  Row["p50_ms"] = Told.ShortMs.at(0.5);
  Row["p99_ms"] = Told.ShortMs.at(0.99);
  Row["p999_ms"] = Told.ShortMs.at(0.999);
  if (Charged && Cpu > 0) {
    Row["requests_per_core_second"] = Answered / Cpu;
  }
  return Row;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage("measures what a daemon and a hop add to a request");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);

  MeshOptions Options;
  Options.Instances = 4;
  Options.Regions = 1;
  Options.Capacity = 1000;
  Options.WorkUs = 0;
  Options.LogLevel = FLAGS_log_level;
  Mesh Cluster(71, Options);
  if (!Cluster.start()) {
    std::cerr << "the mesh did not come up\n";
    return 1;
  }

  int Owner = Cluster.ownerOf("k0", 0);
  int Other = (Owner + 1) % Options.Instances;
  std::vector<Way> Ways = {
      {"direct", {Cluster.instances()[Owner].Host, 8090}, -1},
      {"owner", Cluster.callers(Owner), Owner},
      {"hop", Cluster.callers(Other), Other},
  };

  Json::Value Report;
  for (std::uint32_t Round = 0; Round < FLAGS_rounds; ++Round) {
    double HopPeak = 0;
    for (const Way &Measured : Ways) {
      Json::Value Row = runLoad(Cluster, Measured, 0);
      HopPeak = Row["answered_per_second"].asDouble();
      Report["full"].append(Row);
    }
    for (const Way &Measured : Ways) {
      Report["half"].append(runLoad(Cluster, Measured, HopPeak / 2));
    }
  }
  writeReport("request", Report);
  return 0;
}
