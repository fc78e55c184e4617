#include "bench/BenchSupport.h"

#include "tests/integration/LoadThread.h"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_uint32(seconds, 5, "length of each load in seconds");
DEFINE_uint32(connections, 16, "number of connections of each load");
DEFINE_uint32(rounds, 3, "number of comparison rounds");
DEFINE_string(log_level, "info", "log level of the daemons");

using namespace hemlockspar;

namespace {

/// One path to the backend server that is measured.
struct RequestPath {
  std::string Name;
  Address Target;

  /// Index of the daemon whose CPU time is measured; -1 for none.
  int MeasuredDaemon = -1;
};

LoadOptions loadFor(const RequestPath &Measured, double Rate) {
  LoadOptions Options;
  Options.Targets = {Measured.Target};
  Options.Keyspaces = {"menus"};
  Options.Keys = 1;
  Options.Connections = FLAGS_connections;
  Options.Rate = Rate;
  Options.Length = std::chrono::seconds(FLAGS_seconds);
  return Options;
}

Json::Value runLoad(Mesh &Cluster, const RequestPath &Measured, double Rate) {
  pid_t MeasuredDaemon =
      Measured.MeasuredDaemon < 0
          ? 0
          : Cluster.pidOf(Cluster.instances()[Measured.MeasuredDaemon].Name);
  double Before =
      MeasuredDaemon ? readProcessUsage(MeasuredDaemon).CpuSeconds : 0;

  LoadThread Load(loadFor(Measured, Rate));
  LoadResult &Results = Load.finish();
  double CpuSeconds =
      MeasuredDaemon ? readProcessUsage(MeasuredDaemon).CpuSeconds - Before : 0;

  double Answered = double(Results.ShortMs.count());
  Json::Value Row;
  Row["way"] = Measured.Name;
  Row["offered_per_second"] = Rate;
  Row["answered_per_second"] = Answered / Results.Seconds;
  Row["p50_ms"] = Results.ShortMs.at(0.5);
  Row["p99_ms"] = Results.ShortMs.at(0.99);
  Row["p999_ms"] = Results.ShortMs.at(0.999);
  if (MeasuredDaemon && CpuSeconds > 0) {
    Row["requests_per_core_second"] = Answered / CpuSeconds;
  }
  return Row;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage(
      "measures the overhead of a daemon and of a forwarding hop");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);

  MeshOptions Options;
  Options.Instances = 4;
  Options.Regions = 1;
  Options.Capacity = 1000;
  Options.WorkUs = 0;
  Options.LogLevel = FLAGS_log_level;
  Mesh Cluster(71, Options);
  if (!Cluster.start()) {
    std::cerr << "the mesh did not become ready\n";
    return 1;
  }

  int Owner = Cluster.ownerOf("k0", 0);
  int Other = (Owner + 1) % Options.Instances;
  std::vector<RequestPath> Paths = {
      {"direct", {Cluster.instances()[Owner].Host, 8090}, -1},
      {"owner", Cluster.callerAddress(Owner), Owner},
      {"hop", Cluster.callerAddress(Other), Other},
  };

  Json::Value Report;
  for (std::uint32_t Round = 0; Round < FLAGS_rounds; ++Round) {
    double HopMaxRate = 0;
    for (const RequestPath &Measured : Paths) {
      Json::Value Row = runLoad(Cluster, Measured, 0);
      HopMaxRate = Row["answered_per_second"].asDouble();
      Report["full"].append(Row);
    }
    for (const RequestPath &Measured : Paths) {
      Report["half"].append(runLoad(Cluster, Measured, HopMaxRate / 2));
    }
  }
  writeReport("request", Report);
  return 0;
}
