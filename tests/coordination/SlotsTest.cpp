#include "coordination/Slots.h"
#include "coordination/SlotGate.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace hemlockspar;

/// Slots written as JSON ranges are read back unchanged.
Test(Slots, JsonRoundTrip) {
  bool Holds = rc::check("ranges round trip", [] {
    auto Pairs = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 500), rc::gen::inRange(1, 4)));

    SlotGrants Grants;
    for (const auto &[Slot, Token] : Pairs) {
      Grants.add({SlotIndex(Slot), FencingToken(Token)});
    }
    auto Read = SlotGrants::fromJson(Grants.toJson());
    RC_ASSERT(Read.has_value());
    RC_ASSERT(*Read == Grants);
  });
  cr_assert(Holds);
}

Test(Slots, RefusesMalformedRanges) {
  Json::Value Bad(Json::arrayValue);
  Bad.append("run");
  cr_assert_not(SlotGrants::fromJson(Bad).has_value());
  cr_assert_not(SlotGrants::fromJson(Json::Value("x")).has_value());

  Json::Value Huge(Json::arrayValue);
  Json::Value Range(Json::arrayValue);
  Range.append(0);
  Range.append(4000000000U);
  Range.append(1);
  Huge.append(Range);
  cr_assert_not(SlotGrants::fromJson(Huge).has_value());
}

Test(Slots, TokenNeverDecreases) {
  SlotGrants Grants;
  Grants.add({3, 9});
  Grants.add({3, 4});
  cr_assert_eq(*Grants.find(3), 9);
}

Test(SlotGate, FreezesIdleSlotsOnly) {
  SlotGate Gate;
  SlotsByKeyspace Both;
  Both["menus"].addRange(0, 2, 1);
  cr_assert(Gate.tryEnter("menus", 0));

  Gate.freeze(1, Both, false);
  auto Frozen = Gate.takeReadyFreezes();
  cr_assert_eq(Frozen.size(), 1);
  cr_assert_eq(countSlots(Frozen[0].Slots), 1);
  cr_assert(Gate.tryEnter("menus", 0));
  cr_assert_not(Gate.tryEnter("menus", 1));

  Gate.unfreeze(1);
  cr_assert(Gate.tryEnter("menus", 1));
}

Test(SlotGate, WaitsForBusySlots) {
  SlotGate Gate;
  SlotsByKeyspace One;
  One["menus"].addRange(0, 1, 1);
  cr_assert(Gate.tryEnter("menus", 0));

  Gate.freeze(1, One, true);
  cr_assert(Gate.takeReadyFreezes().empty());
  cr_assert_not(Gate.tryEnter("menus", 0));
  Gate.leave("menus", 0);
  cr_assert_eq(Gate.takeReadyFreezes().size(), 1);
  cr_assert(Gate.takeReadyFreezes().empty());
}
