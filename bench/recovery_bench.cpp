#include "bench/BenchSupport.h"

#include "stand_ins/Quantiles.h"

#include <csignal>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_uint32(runs, 20, "number of kills");

using namespace hemlockspar;

namespace {

/// Kills the daemon and the backend server that own a key and requests the key
/// through another daemon until it is served. Returns the time in milliseconds,
/// or -1 if the key has no owner or is not served in time.
double measureRecoveryMs(Mesh &Cluster) {
  int Owner = Cluster.ownerOf("k1", 0);
  if (Owner < 0) {
    return -1;
  }
  const MeshInstance Killed = Cluster.instances()[Owner];
  int OtherDaemon = (Owner + 1) % static_cast<int>(Cluster.instances().size());

  TimePoint KilledAt = BootClock::now();
  Cluster.kill(Killed.Name, SIGKILL);
  Cluster.kill(Killed.Name + ".backend", SIGKILL);
  bool Served = Cluster.waitUntil([&] {
    ExchangeResult Answer = Cluster.send(OtherDaemon, http::verb::get, "k1");
    return Answer.Outcome == ExchangeOutcome::Answered &&
           Answer.Response.result() == http::status::ok;
  });
  double RecoveryMs = double(toMilliseconds(BootClock::now() - KilledAt));

  Cluster.startDaemon(Killed);
  Cluster.startBackend(Killed);
  Cluster.waitUntil([&] { return Cluster.isReady(Owner); });
  return Served ? RecoveryMs : -1;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage(
      "measures the time until a key is served after its owner is killed");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);

  Mesh Cluster(70, {});
  if (!Cluster.start()) {
    std::cerr << "the mesh did not become ready\n";
    return 1;
  }

  Json::Value Report;
  Quantiles Times;
  for (std::uint32_t Run = 0; Run < FLAGS_runs; ++Run) {
    double RecoveryMs = measureRecoveryMs(Cluster);
    Report["runs_ms"].append(RecoveryMs);
    Times.add(RecoveryMs);
  }
  Report["p50_ms"] = Times.at(0.5);
  Report["worst_ms"] = Times.at(1.0);
  writeReport("recovery", Report);
  return 0;
}
