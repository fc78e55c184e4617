#include "tests/mesh/PlatformMesh.h"

#include <absl/strings/str_cat.h>
#include <atomic>
#include <criterion/criterion.h>
#include <csignal>
#include <thread>

using namespace hemlockspar;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double Tolerated = 7.8;

/// A cold server ends when it gets more requests than this in a second: one and
/// a half times what it tolerates, and 8 more.
constexpr std::size_t MaxColdArrivals = 19;

/// The heartbeat of the fake backend servers.
constexpr auto Heartbeat = milliseconds(300);

/// Callers on one machine, each of which sends its next request when the last
/// one has been answered.
class Callers {
public:
  Callers(const PlatformMesh &Mesh, int Index, const std::string &Path,
          bool Keyed, int Count) {
    for (int Caller = 0; Caller < Count; ++Caller) {
      this->Threads.emplace_back([this, &Mesh, Index, Path, Keyed, Caller] {
        this->run(Mesh.callerAddress(Index), Path, Keyed, Caller);
      });
    }
  }
  ~Callers() { this->stop(); }

  void stop() {
    this->Stopped = true;
    this->Threads.clear();
  }

private:
  void run(const Address &Daemon, const std::string &Path, bool Keyed,
           int Caller) {
    BlockingClient Client;
    for (int Number = 0; !this->Stopped; ++Number) {
      HttpRequest Request(http::verb::get, Path, 11);
      Request.set(http::field::host, "spa.example");
      Request.set("Request-Id", absl::StrCat("c", Caller, "-", Number));
      Request.set("Deadline-Ms", "8000");
      if (Keyed) {
        Request.set("Shard-Key", std::to_string((Caller * 997) % 65536));
      }
      Client.exchange(Daemon, Request, seconds(10));
    }
  }

  std::atomic<bool> Stopped = false;
  std::vector<std::jthread> Threads;
};

void setServiceTime(PlatformMesh &Mesh, int Index, milliseconds Time) {
  PlatformServerFaults Faults;
  Faults.ServiceTime = Time;
  Mesh.server(Index).setFaults(Faults);
}

} // namespace

/// Requests that were admitted to the queue of a warm server must not be sent
/// at the pace of its slots once it is cold.
Test(ColdServerMesh, QueueOfAWarmServerFloodsItOnceCold) {
  PlatformMesh Mesh(121, {"menus", "bookings"});
  Mesh.setColdRequestsPerSecond(Tolerated);
  cr_assert(Mesh.start());
  setServiceTime(Mesh, 0, milliseconds(150));
  Callers Load(Mesh, 1, "/menus/1", true, 60);
  std::this_thread::sleep_for(seconds(2));

  Mesh.server(0).turnCold(seconds(3));
  std::this_thread::sleep_for(seconds(3));
  Load.stop();
  std::size_t Most = Mesh.server(0).mostColdArrivalsInASecond();
  cr_assert_gt(Most, 0);
  cr_assert_leq(Most, MaxColdArrivals, "%zu in a second", Most);
}

/// A daemon that knows no configuration yet must not send requests of other
/// daemons to its cold server without a limit.
Test(ColdServerMesh, DaemonWithoutAConfigurationFloodsItsColdServer) {
  PlatformMesh Mesh(122, {"menus", "bookings"});
  Mesh.setColdRequestsPerSecond(Tolerated);
  cr_assert(Mesh.start());
  setServiceTime(Mesh, 1, milliseconds(20));

  PlatformStoreFaults NoConfigurations;
  NoConfigurations.UnansweredTables = {"op"};
  Mesh.signalDaemon(1, SIGKILL);
  Mesh.store().setFaults(NoConfigurations);
  Mesh.server(1).restart("s1-again");
  Mesh.server(1).turnCold(seconds(4));
  Mesh.startDaemon(1);
  Callers Load(Mesh, 0, "/lists/1", false, 30);
  std::this_thread::sleep_for(seconds(3));

  Mesh.store().setFaults({});
  std::this_thread::sleep_for(seconds(1));
  Load.stop();
  std::size_t Most = Mesh.server(1).mostColdArrivalsInASecond();
  cr_log_info("%zu in a second", Most);
  cr_assert_leq(Most, MaxColdArrivals, "%zu in a second", Most);
}

/// The servers of a data centre may have turned cold just before its evacuation
/// begins; those whose keys are still handed over must not get all requests for
/// them until their next report.
Test(ColdServerMesh, EvacuationFloodsServersThatHaveJustTurnedCold) {
  PlatformMesh Mesh(123, {"bookings", "menus"});
  Mesh.setColdRequestsPerSecond(Tolerated);
  cr_assert(Mesh.start());
  setServiceTime(Mesh, 1, milliseconds(60));
  Callers Load(Mesh, 0, "/menus/1", true, 20);
  std::this_thread::sleep_for(seconds(1));

  PlatformServerFaults Silent;
  Silent.SuppressReports = true;
  Silent.ServiceTime = milliseconds(60);
  Mesh.server(1).setFaults(Silent);
  Mesh.server(1).turnCold(seconds(4));
  Mesh.store().put("op", "evacuate/r1-a", "{}");
  std::this_thread::sleep_for(seconds(2));
  Load.stop();
  std::size_t Most = Mesh.server(1).mostColdArrivalsInASecond();
  cr_log_info("%zu in a second", Most);
  cr_assert_leq(Most, MaxColdArrivals, "%zu in a second", Most);
}

/// A server that turns cold while it runs must not get the full demand until
/// its next report, which may be late.
Test(ColdServerMesh, ServerIsFloodedThatTurnsColdBetweenReports) {
  PlatformMesh Mesh(124, {"menus", "bookings"});
  Mesh.setColdRequestsPerSecond(Tolerated);
  cr_assert(Mesh.start());
  PlatformServerFaults Silent;
  Silent.SuppressReports = true;
  Silent.ServiceTime = milliseconds(100);
  Mesh.server(1).setFaults(Silent);
  std::this_thread::sleep_for(Heartbeat);
  Callers Load(Mesh, 0, "/lists/1", false, 12);
  std::this_thread::sleep_for(milliseconds(500));

  Mesh.server(1).turnCold(seconds(4));
  std::this_thread::sleep_for(seconds(2));
  Load.stop();
  std::size_t Most = Mesh.server(1).mostColdArrivalsInASecond();
  cr_assert_gt(Most, 0);
  cr_assert_leq(Most, MaxColdArrivals, "%zu in a second", Most);
}
