#include "tests/mesh/PlatformMesh.h"

#include <criterion/criterion.h>
#include <csignal>

using namespace hemlockspar;

namespace {

/// Data centres and regions alternate: the even daemons are in r0.
const std::vector<std::string> FourDaemons = {"menus", "menus", "bookings",
                                              "bookings"};

unsigned statusOf(const ExchangeResult &Result) {
  return Result.Outcome == ExchangeOutcome::Answered
             ? Result.Response.result_int()
             : 0;
}

bool allHeldBy(PlatformMesh &Mesh, int Index) {
  return Mesh.waitUntil(
      [&] { return Mesh.server(Index).heldKeyCount() == 65536; });
}

std::size_t executedAt(PlatformMesh &Mesh, int Index) {
  return Mesh.server(Index).executedRequests().size();
}

} // namespace

/// A route that is restricted to a region while it is in use must not be served
/// outside it, wherever its callers are, and keys must follow it.
Test(PlacementMesh, RestrictedRoutesStayInTheirRegion) {
  PlatformMesh Mesh(101, FourDaemons);
  cr_assert(Mesh.start());
  Mesh.setHome("lists", "r0");
  Mesh.setHome("menus", "r0");
  Mesh.declare(2);

  cr_assert(allHeldBy(Mesh, 0), "keys stay outside the homes");
  std::size_t Before = executedAt(Mesh, 3);
  for (int Sent = 0; Sent < 40; ++Sent) {
    cr_assert_eq(statusOf(Mesh.send(Sent % 4, "/lists/1")), 200);
    cr_assert_eq(
        statusOf(Mesh.sendKey(Sent % 4, static_cast<std::uint32_t>(Sent))),
        200);
  }
  cr_assert_eq(executedAt(Mesh, 3), Before);

  // Without an instance in a home the request is refused and may be repeated.
  Mesh.server(2).startDraining();
  ExchangeResult Refused;
  cr_assert(Mesh.waitUntil([&] {
    Refused = Mesh.send(3, "/lists/1");
    return statusOf(Refused) == 503;
  }));
  cr_assert_neq(headerValue(Refused.Response, "Retry-After"), "");
  cr_assert_eq(executedAt(Mesh, 3), Before);
}

/// Nothing may reach the servers of an evacuated data centre, its keys move,
/// and the servers are in use again when the evacuation ends.
Test(PlacementMesh, EvacuatedDataCentreGetsNoRequests) {
  PlatformMesh Mesh(102, FourDaemons);
  cr_assert(Mesh.start());
  Mesh.store().put("op", "evacuate/r1-a", "odd \x01 value");

  cr_assert(allHeldBy(Mesh, 0), "keys stay in the evacuated data centre");
  std::size_t Before = executedAt(Mesh, 3);
  for (int Sent = 0; Sent < 40; ++Sent) {
    cr_assert_eq(statusOf(Mesh.send(Sent % 4, "/lists/1")), 200);
    cr_assert_eq(
        statusOf(Mesh.sendKey(Sent % 4, static_cast<std::uint32_t>(Sent))),
        200);
  }
  cr_assert_eq(executedAt(Mesh, 3), Before);

  Mesh.store().remove("op", "evacuate/r1-a");
  cr_assert(Mesh.waitUntil([&] {
    Mesh.send(3, "/lists/1");
    return executedAt(Mesh, 3) > Before;
  }));
  cr_assert(Mesh.waitUntil([&] { return Mesh.server(1).heldKeyCount() > 0; }));
}

/// A daemon that starts anew must not use an evacuated data centre before it
/// has read the operators' rows.
Test(PlacementMesh, EvacuationOutlastsARestart) {
  PlatformMesh Mesh(103, FourDaemons);
  cr_assert(Mesh.start());
  Mesh.store().put("op", "evacuate/r1-a", "");
  cr_assert(allHeldBy(Mesh, 0));

  std::size_t Before = executedAt(Mesh, 3);
  for (int Index : {2, 3}) {
    Mesh.signalDaemon(Index, SIGKILL);
    Mesh.startDaemon(Index);
    cr_assert(Mesh.waitUntil([&] { return Mesh.isReady(Index); }));
  }
  cr_assert(Mesh.waitUntil(
      [&] { return statusOf(Mesh.send(3, "/lists/1")) == 200; }));
  cr_assert_eq(executedAt(Mesh, 3), Before);
}
