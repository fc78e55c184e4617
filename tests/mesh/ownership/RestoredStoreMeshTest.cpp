#include "stand_ins/OwnershipChecker.h"
#include "tests/mesh/PlatformMesh.h"

#include <criterion/criterion.h>

using namespace hemlockspar;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t KeyStep = 4099;

/// Sends requests for keys to all daemons in turn for \p Span; returns the
/// number of those that were not answered with 200.
int countFailures(PlatformMesh &Mesh, seconds Span, int &Sent) {
  int Failures = 0;
  std::uint32_t Key = 0;
  TimePoint End = BootClock::now() + Span;
  while (BootClock::now() < End) {
    Key = (Key + KeyStep) % KeyCount;
    ExchangeResult Result = Mesh.sendKey(Sent++ % Mesh.count(), Key);
    bool Served = Result.Outcome == ExchangeOutcome::Answered &&
                  Result.Response.result() == http::status::ok;
    Failures += Served ? 0 : 1;
  }
  return Failures;
}

std::string firstViolation(const OwnershipChecker &Checker) {
  return Checker.violations().empty() ? "" : Checker.violations().front();
}

} // namespace

/// Owners that have not changed keep their keys while the store comes back from
/// a copy, even if that lacks their newest renewals.
Test(RestoredStoreMesh, RestoredStoreInterruptsRequests) {
  OwnershipChecker Checker;
  PlatformMesh Mesh(138, {"menus", "menus", "menus", "bookings"});
  Mesh.setLedger(&Checker);
  cr_assert(Mesh.start());

  int Sent = 0;
  int Failures = 0;
  Mesh.restoreStore([&] { Failures += countFailures(Mesh, seconds(4), Sent); },
                    [] {});
  Failures += countFailures(Mesh, seconds(14), Sent);
  cr_assert_eq(Failures, 0, "%d of %d requests failed", Failures, Sent);
  cr_assert(Checker.violations().empty(), "%s",
            firstViolation(Checker).c_str());
}

/// Keys that were handed over in writes that are lost have one holder at a
/// time, and have one again soon after the leases of before have ended.
Test(RestoredStoreMesh, RestoredStoreGivesKeysTwoHolders) {
  OwnershipChecker Checker;
  PlatformMesh Mesh(139, {"menus", "menus", "menus", "bookings"});
  Mesh.setLedger(&Checker);
  cr_assert(Mesh.start());

  Mesh.restoreStore(
      [&] {
        Mesh.server(2).startDraining();
        cr_assert(Mesh.waitUntil(
            [&] { return Mesh.server(2).heldKeyCount() == 0; }, seconds(8)));
        cr_assert(Mesh.waitUntil([&] { return Mesh.allKeysHeld(); }));
      },
      [] {});
  cr_assert(Mesh.waitUntil(
      [&] { return Mesh.allKeysHeld() && Mesh.server(2).heldKeyCount() == 0; },
      seconds(16)));
  cr_assert(Checker.violations().empty(), "%s",
            firstViolation(Checker).c_str());
}
