#include "tests/mesh/KeySimulation.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace hemlockspar;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace hemlockspar {

void showValue(const KeyFault &Shown, std::ostream &Out) {
  Out << "{kind " << static_cast<int>(Shown.Kind) << " who " << Shown.NodeIndex
      << " at " << toMilliseconds(Shown.StartsAfter) << " ms lasting "
      << toMilliseconds(Shown.Length) << " ms}";
}

} // namespace hemlockspar

namespace rc {

template <> struct Arbitrary<KeyFault> {
  static Gen<KeyFault> arbitrary() {
    return gen::build<KeyFault>(
        gen::set(
            &KeyFault::Kind,
            gen::map(gen::inRange(0, KeyFaultKindCount),
                     [](int Kind) { return static_cast<KeyFaultKind>(Kind); })),
        gen::set(&KeyFault::NodeIndex,
                 gen::inRange(0, KeySimulation::MaxNodes)),
        gen::set(&KeyFault::StartsAfter, gen::map(gen::inRange(0, 30000),
                                                  [](int Span) -> Duration {
                                                    return milliseconds(Span);
                                                  })),
        gen::set(&KeyFault::Length,
                 gen::map(gen::inRange(100, 11000), [](int Span) -> Duration {
                   return milliseconds(Span);
                 })));
  }
};

} // namespace rc

/// Under kills, freezes, cuts, outages, lost answers and late writes, several
/// at once: no key is ever held by two backend servers, tokens rise, and once
/// the faults end every key is held again.
Test(KeyKeeper, OneHolderUnderFaults) {
  cr_assert(rc::check("one holder a key under faults", [] {
    auto Seed = *rc::gen::arbitrary<std::uint32_t>();
    auto Members = *rc::gen::inRange(1, KeySimulation::MaxNodes + 1);
    auto Count = *rc::gen::inRange(1, 20);
    auto Faults = *rc::gen::container<std::vector<KeyFault>>(
        static_cast<std::size_t>(Count), rc::gen::arbitrary<KeyFault>());

    KeySimulation World(Seed, Members);
    World.inject(Faults);
    for (int Who = 0; Who < Members; ++Who) {
      World.setLoad(Who, *rc::gen::inRange(0, 15) / 10.0);
    }

    bool Kept = World.run(seconds(42));
    if (!Kept) {
      RC_FAIL(World.violation());
    }
    // Keys that are just being moved have no holder for a moment.
    bool AllHeld = false;
    for (int Tenth = 0; Tenth < 250 && Kept && !AllHeld; ++Tenth) {
      Kept = World.run(milliseconds(100));
      AllHeld = World.allKeysHeld();
    }
    if (!Kept) {
      RC_FAIL(World.violation());
    }
    RC_ASSERT(AllHeld);
  }));
}

Test(KeyKeeper, StartsEvenAndSoon) {
  KeySimulation World(1, 4);
  cr_assert(World.run(seconds(5)), "%s", World.violation().c_str());
  cr_assert(World.allKeysHeld());
  for (int Who = 0; Who < 4; ++Who) {
    cr_assert_eq(World.heldKeyCount(Who), 16384);
  }
}

/// The load pattern of a machine lost for good: its keys are held by others
/// within the lease and a second.
Test(KeyKeeper, KeysOfALostMachineAreTakenOver) {
  KeySimulation World(2, 4);
  World.run(seconds(5));
  World.inject({{KeyFaultKind::MachineKilled, 1, seconds(5), seconds(600)}});
  cr_assert(World.run(seconds(14)));
  cr_assert(World.allKeysHeld());
  cr_assert_eq(World.heldKeyCount(1), 0);
}

/// A daemon that is back soon finds its keys where they were.
Test(KeyKeeper, ARestartedDaemonKeepsItsKeys) {
  KeySimulation World(3, 4);
  World.run(seconds(5));
  World.inject(
      {{KeyFaultKind::DaemonKilled, 1, seconds(5), milliseconds(700)}});
  cr_assert(World.run(seconds(6)));
  cr_assert(World.allKeysHeld());
  cr_assert_eq(World.heldKeyCount(1), 16384);
}

/// An outage of the store of 4.5 s takes no keys from anybody.
Test(KeyKeeper, AnOutageOfTheStoreIsOutlasted) {
  KeySimulation World(4, 4);
  World.run(seconds(6));
  World.inject({{KeyFaultKind::StoreDown, 0, seconds(6), milliseconds(4500)}});
  for (int Tenth = 0; Tenth < 60; ++Tenth) {
    cr_assert(World.run(milliseconds(100)));
    cr_assert(World.allKeysHeld(), "keys without a holder after %d00 ms",
              Tenth);
  }
}

/// A leaving backend server's keys go to the others with their state.
Test(KeyKeeper, LeavingHandsOver) {
  KeySimulation World(5, 3);
  World.run(seconds(5));
  World.inject({{KeyFaultKind::ServerLeaves, 2, seconds(5), seconds(60)}});
  cr_assert(World.run(seconds(4)));
  cr_assert(World.allKeysHeld());
  cr_assert_eq(World.heldKeyCount(2), 0);
  cr_assert_geq(World.handoverCount(), 1);
}

/// The load pattern of hot keys: a busy owner gives to one that has room.
Test(KeyKeeper, ABusyOwnerGivesAway) {
  KeySimulation World(6, 3);
  World.setLoad(0, 0.1);
  World.setLoad(1, 0.1);
  World.setLoad(2, 0.1);
  cr_assert(World.run(seconds(5)));
  std::uint32_t Before = World.heldKeyCount(0);
  World.inject({{KeyFaultKind::MachineKilled, 2, seconds(5), seconds(3)}});
  cr_assert(World.run(seconds(30)));
  cr_assert(World.allKeysHeld());

  // The machine that was away owns nothing when it is back, and gets a part.
  cr_assert_gt(World.heldKeyCount(2), 0);
  cr_assert_gt(Before, 0);
}

/// The load pattern of hot keys: two hundred neighbouring keys ask for three
/// times what their owner can do, while the others are next to idle. Within
/// four seconds no owner is asked for more than it can do and the smallest
/// part that moves, sixteen of these keys.
Test(KeyKeeper, HotKeysAreSpreadSoon) {
  KeySimulation World(7, 5);
  World.setKeyLoad({0, MaxKey}, 5 * 6 * 0.2 / (MaxKey + 1));
  cr_assert(World.run(seconds(8)));
  World.setKeyLoad({1000, 1199}, 18.0 / 200);
  cr_assert(World.run(seconds(4)), "%s", World.violation().c_str());

  for (int Who = 0; Who < 5; ++Who) {
    cr_assert_leq(World.demandOf(Who), 1.0 + 16 * 18.0 / 200 / 6,
                  "member %d is asked for %f", Who, World.demandOf(Who));
  }
}
