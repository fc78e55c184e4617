#include "tests/mesh/PlatformMesh.h"

#include <criterion/criterion.h>
#include <csignal>

using namespace hemlockspar;
using std::chrono::milliseconds;

namespace {

/// The server under test is s2, which provides bookings together with s3.
constexpr int Leaver = 2;

/// Time after the acknowledgement of a departure from which the server must get
/// no more requests.
constexpr auto LeaveTime = milliseconds(2500);

/// Requests are sent for this long once the server must get none.
constexpr auto ObservedTime = milliseconds(1500);

unsigned statusOf(const ExchangeResult &Result) {
  return Result.Outcome == ExchangeOutcome::Answered
             ? Result.Response.result_int()
             : 0;
}

PlatformServerFaults noReports() {
  PlatformServerFaults Faults;
  Faults.SuppressReports = true;
  return Faults;
}

void refuseStoreCalls(PlatformMesh &Mesh) {
  PlatformStoreFaults Down;
  Down.RefusedCallers = {"*"};
  Mesh.store().setFaults(Down);
}

void restart(PlatformMesh &Mesh) {
  Mesh.signalDaemon(Leaver, SIGKILL);
  Mesh.startDaemon(Leaver);
}

void expectLeaveStatus(PlatformMesh &Mesh, const std::string &Id,
                       unsigned Expected) {
  ExchangeResult Result = Mesh.leave(Leaver, Id);
  cr_assert_eq(statusOf(Result), Expected, "status %u instead of %u, %s",
               statusOf(Result), Expected, Result.Error.c_str());
}

/// Sends requests through all daemons and fails when one reaches the server.
void expectUnused(PlatformMesh &Mesh) {
  std::size_t Before = Mesh.server(Leaver).executedRequests().size();
  auto End = std::chrono::steady_clock::now() + ObservedTime;
  while (std::chrono::steady_clock::now() < End) {
    for (int Index = 0; Index < 4; ++Index) {
      Mesh.send(Index, "/lists/1", {{"Deadline-Ms", "1000"}});
    }
  }
  std::size_t After = Mesh.server(Leaver).executedRequests().size();
  cr_assert_eq(After, Before, "%zu requests reached a server that had left",
               After - Before);
}

struct DepartureFixture {
  explicit DepartureFixture(int Number)
      : Mesh(Number, {"menus", "menus", "bookings", "bookings"}) {}

  /// Starts the mesh, and takes a report that is delivered after the departure.
  void start() {
    cr_assert(this->Mesh.start());
    cr_assert(this->Mesh.waitUntil([&] {
      this->Mesh.send(Leaver, "/lists/1");
      return !this->Mesh.server(Leaver).executedRequests().empty();
    }));
    this->Mesh.server(Leaver).setFaults(noReports());
    std::this_thread::sleep_for(milliseconds(400));
    this->LateReport = this->Mesh.server(Leaver).takeReport();
  }

  void deliverLateReport() {
    cr_assert(this->Mesh.waitUntil([&] { return this->Mesh.isReady(Leaver); }));
    this->Mesh.report(Leaver, "s2", this->LateReport);
  }

  PlatformMesh Mesh;
  std::string LateReport;
};

} // namespace

/// A backend server that has left gets no requests when its daemon is killed
/// and started again and a report from before arrives late (DRAIN).
Test(DepartureMesh, LeftServerIsNotUsedAfterARestart) {
  DepartureFixture Fixture(81);
  Fixture.start();
  expectLeaveStatus(Fixture.Mesh, "s2", 200);
  restart(Fixture.Mesh);
  std::this_thread::sleep_for(LeaveTime);
  Fixture.deliverLateReport();
  expectUnused(Fixture.Mesh);
}

/// A draining backend server does not get another span of requests from a
/// daemon that is restarted while it drains (DRAIN).
Test(DepartureMesh, DrainingDoesNotBeginAnewAfterARestart) {
  DepartureFixture Fixture(82);
  Fixture.start();
  Fixture.Mesh.server(Leaver).setFaults({});
  Fixture.Mesh.server(Leaver).startDraining();
  cr_assert(Fixture.Mesh.waitUntil([&] {
    return Fixture.Mesh.logOf(Leaver).find("state=leaving") !=
           std::string::npos;
  }));
  std::this_thread::sleep_for(LeaveTime);
  restart(Fixture.Mesh);
  cr_assert(
      Fixture.Mesh.waitUntil([&] { return Fixture.Mesh.isReady(Leaver); }));
  expectUnused(Fixture.Mesh);
}

/// A departure that is acknowledged while the store is away outlasts the
/// process that acknowledged it (DRAIN).
Test(DepartureMesh, LeaveIsKeptByPeersWhileTheStoreIsAway) {
  DepartureFixture Fixture(83);
  Fixture.start();
  refuseStoreCalls(Fixture.Mesh);
  cr_assert(Fixture.Mesh.waitUntil(
      [&] { return statusOf(Fixture.Mesh.leave(Leaver, "s2")) == 200; }));
  Fixture.Mesh.signalDaemon(Leaver, SIGKILL);
  Fixture.Mesh.store().setFaults({});
  Fixture.Mesh.startDaemon(Leaver);
  std::this_thread::sleep_for(LeaveTime);
  Fixture.deliverLateReport();
  expectUnused(Fixture.Mesh);
}

/// A departure that neither the store nor any other daemon could keep is not
/// acknowledged, since a restart would forget it (DRAIN).
Test(DepartureMesh, LeaveThatNobodyKeepsIsNotAcknowledged) {
  DepartureFixture Fixture(84);
  Fixture.start();
  refuseStoreCalls(Fixture.Mesh);
  for (int Index : {0, 1, 3}) {
    Fixture.Mesh.signalDaemon(Index, SIGKILL);
  }
  expectLeaveStatus(Fixture.Mesh, "s2", 503);
  Fixture.Mesh.store().setFaults({});
  cr_assert(Fixture.Mesh.waitUntil(
      [&] { return statusOf(Fixture.Mesh.leave(Leaver, "s2")) == 200; }));
}

/// A restarted daemon takes the departure of a backend server that has not
/// reported to it yet, and remembers it.
Test(DepartureMesh, LeaveBeforeTheFirstReportIsKept) {
  DepartureFixture Fixture(85);
  Fixture.start();
  restart(Fixture.Mesh);
  cr_assert(
      Fixture.Mesh.waitUntil([&] { return Fixture.Mesh.isReady(Leaver); }));
  expectLeaveStatus(Fixture.Mesh, "s2", 200);
  expectLeaveStatus(Fixture.Mesh, "unheard-of", 503);
  std::this_thread::sleep_for(LeaveTime);
  Fixture.deliverLateReport();
  expectUnused(Fixture.Mesh);
}
