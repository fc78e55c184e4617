#include "bench/BenchSupport.h"

#include "stand_ins/Quantiles.h"

#include <csignal>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_uint32(runs, 20, "kills to measure");

using namespace hemlockspar;

namespace {

/// Kills the owner of a key, daemon and backend server, and asks for the key
/// through another daemon until it is answered. Returns milliseconds, or -1.
double killAndAsk(Mesh &Cluster) {
  int Owner = Cluster.ownerOf("k1", 0);
  if (Owner < 0) {
    return -1;
  }
  const MeshInstance Lost = Cluster.instances()[Owner];
  int Asked = (Owner + 1) % static_cast<int>(Cluster.instances().size());

  TimePoint Began = BootClock::now();
  Cluster.kill(Lost.Name, SIGKILL);
  Cluster.kill(Lost.Name + ".backend", SIGKILL);
  bool Served = Cluster.waitUntil([&] {
    ExchangeResult Answer = Cluster.send(Asked, http::verb::get, "k1");
    return Answer.Outcome == ExchangeOutcome::Answered &&
           Answer.Response.result() == http::status::ok;
  });
  double Ms = double(toMilliseconds(BootClock::now() - Began));

  Cluster.startDaemon(Lost);
  Cluster.startBackend(Lost);
  Cluster.waitUntil([&] { return Cluster.isReady(Owner); });
  return Served ? Ms : -1;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage("measures how soon a key is served after a kill");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);

  Mesh Cluster(70, {});
  if (!Cluster.start()) {
    std::cerr << "the mesh did not come up\n";
    return 1;
  }

  Json::Value Report;
  Quantiles Times;
  for (std::uint32_t Run = 0; Run < FLAGS_runs; ++Run) {
    double Ms = killAndAsk(Cluster);
    Report["runs_ms"].append(Ms);
    Times.add(Ms);
  }
  Report["p50_ms"] = Times.at(0.5);
  Report["worst_ms"] = Times.at(1.0);
  writeReport("recovery", Report);
  return 0;
}
