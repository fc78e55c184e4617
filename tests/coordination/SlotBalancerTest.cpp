#include "coordination/SlotBalancer.h"

#include <criterion/criterion.h>

using namespace hemlockspar;

namespace {

OwnLoad loaded(double Utilization) {
  OwnLoad Own;
  Own.Status = {Utilization, 10, 6, true};
  Own.Busiest = {{"menus", 0, 0.5}, {"menus", 1, 0.15}, {"menus", 2, 0.1}};
  return Own;
}

SlotsByKeyspace tenSlots() {
  SlotsByKeyspace Owned;
  Owned["menus"].addRange(0, 10, 1);
  return Owned;
}

} // namespace

/// A slot that is heavier than half the load gap stays; lighter slots are
/// moved.
Test(SlotBalancer, MovesLighterSlotsThanTheHotOne) {
  SlotBalancer Balancer(PlacementPreference::Peak);
  SlotsByKeyspace Chosen =
      Balancer.choose(loaded(0.9), tenSlots(), {0.3, 10, 6, true}, TimePoint());

  cr_assert_not(Chosen["menus"].find(0).has_value());
  cr_assert(Chosen["menus"].find(1).has_value());
  cr_assert(Chosen["menus"].find(2).has_value());
}

Test(SlotBalancer, FewMovesToleratesLargerGap) {
  LoadStatus Peer{0.6, 10, 6, true};
  SlotBalancer FewMoves(PlacementPreference::FewMoves);
  SlotBalancer Peak(PlacementPreference::Peak);
  cr_assert(
      FewMoves.choose(loaded(0.85), tenSlots(), Peer, TimePoint()).empty());
  cr_assert_not(
      Peak.choose(loaded(0.85), tenSlots(), Peer, TimePoint()).empty());
}

Test(SlotBalancer, LimitsMovesPerMinute) {
  SlotBalancer Balancer(PlacementPreference::FewMoves);
  LoadStatus Idle{0.0, 10, 6, true};
  int Moves = 0;
  for (int Second = 0; Second < 60; ++Second) {
    TimePoint Now(std::chrono::seconds(1000 + Second));
    Moves += !Balancer.choose(loaded(0.9), tenSlots(), Idle, Now).empty();
  }
  cr_assert_eq(Moves, 2);
}

Test(SlotBalancer, NoSlotsToPeerThatDoesNotAccept) {
  SlotBalancer Balancer(PlacementPreference::Peak);
  cr_assert(
      Balancer.choose(loaded(0.9), tenSlots(), {0.0, 0, 6, false}, TimePoint())
          .empty());
}
