#include "mesh/store_access/HedgeSchedule.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace hemlockspar;
using std::chrono::milliseconds;

namespace {

std::size_t relaysIn(const std::vector<StorePath> &Paths) {
  return static_cast<std::size_t>(
      std::count(Paths.begin(), Paths.end(), StorePath::Relay));
}

bool contains(const std::vector<StorePath> &Paths, StorePath Path) {
  return std::count(Paths.begin(), Paths.end(), Path) > 0;
}

} // namespace

/// A working store is asked once; a silent one also over a new connection.
Test(HedgeSchedule, SilentDirectPathHoldsUpTheCall) {
  HedgeSchedule Schedule(DirectPath::Working, 9);
  cr_assert(Schedule.next(false) == std::vector{StorePath::Direct});

  auto Second = Schedule.next(true);
  cr_assert(contains(Second, StorePath::DirectOnNewConnection));
  cr_assert_eq(relaysIn(Second), 2);
  auto Third = Schedule.next(true);
  cr_assert_not(contains(Third, StorePath::DirectOnNewConnection));
  cr_assert_eq(relaysIn(Third), 2);
}

/// A store that has answered with a refusal is not asked again at once.
Test(HedgeSchedule, RefusedCallIsSentAgain) {
  HedgeSchedule Schedule(DirectPath::Working, 9);
  Schedule.next(false);
  cr_assert_not(
      contains(Schedule.next(false), StorePath::DirectOnNewConnection));
}

/// While the direct path is lost, a call must not wait for it.
Test(HedgeSchedule, LostDirectPathHoldsUpTheCall) {
  HedgeSchedule Lost(DirectPath::Lost, 9);
  cr_assert(Lost.next(false) == std::vector{StorePath::Relay});
  HedgeSchedule Probed(DirectPath::Probed, 9);
  auto First = Probed.next(false);
  cr_assert(contains(First, StorePath::Direct));
  cr_assert_eq(relaysIn(First), 1);
}

/// The attempts of one call are bounded, however many instances there are.
Test(HedgeSchedule, AttemptsWithoutEnd) {
  for (std::size_t Relays : {0, 1, 500}) {
    HedgeSchedule Schedule(DirectPath::Working, Relays);
    std::size_t Attempts = 0;
    for (int Round = 0; Round < 20 && Schedule.hasMore(); ++Round) {
      Attempts += Schedule.next(true).size();
    }
    cr_assert_not(Schedule.hasMore());
    cr_assert_geq(Attempts, 2);
    cr_assert_leq(Attempts, 7);
  }
}

/// A store that has become slow must not get several calls in place of one, nor
/// keep the delay long once it is fast again.
Test(HedgeDelay, SlowStoreGetsMoreCalls) {
  HedgeDelay Delay;
  Delay.recordAnswer(milliseconds(64));
  cr_assert(Delay.current() == milliseconds(200));
  Delay.recordAnswer(milliseconds(300));
  cr_assert(Delay.current() == milliseconds(600));
  for (int Answer = 0; Answer < 8; ++Answer) {
    Delay.recordAnswer(milliseconds(64));
  }
  cr_assert(Delay.current() == milliseconds(200));
}
