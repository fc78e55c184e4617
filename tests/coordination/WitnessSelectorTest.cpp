#include "coordination/WitnessSelector.h"

#include <criterion/criterion.h>
#include <map>
#include <rapidcheck.h>

using namespace hemlockspar;

/// With two regions of two and three data centres and several instances in
/// each, losing any one data centre, or the link to the other region, leaves a
/// majority of witnesses.
Test(WitnessSelector, SurvivesOneDataCenterOrRegionLink) {
  bool Holds = rc::check("spread over data centres", [] {
    auto Home = *rc::gen::inRange(0, 5);
    auto PerPlace = *rc::gen::inRange(3, 6);
    std::vector<WitnessCandidate> Candidates;

    for (int Place = 0; Place < 5; ++Place) {
      for (int Index = 0; Index < PerPlace; ++Index) {
        std::string Name = std::to_string(Place) + "-" + std::to_string(Index);
        Candidates.push_back(
            {{Name, 1}, Place < 2 ? "east" : "west", std::to_string(Place)});
      }
    }

    std::string Region = Home < 2 ? "east" : "west";
    WitnessSelector Selector({{"self", 1}, Region, std::to_string(Home)});
    WitnessSet Chosen = Selector.choose(Candidates, {});
    RC_ASSERT(Chosen.size() == WitnessSelector::MaxWitnesses);

    std::map<char, int> PerDataCenter;
    int OtherRegion = 0;
    for (const WitnessRef &Witness : Chosen) {
      char Place = Witness.Instance[0];
      ++PerDataCenter[Place];
      OtherRegion += (Place < '2') != (Home < 2);
    }
    for (const auto &[Place, Count] : PerDataCenter) {
      RC_ASSERT(Count <= 2);
    }
    RC_ASSERT(OtherRegion <= 2);

    RC_ASSERT(Selector.choose(Candidates, Chosen).size() == Chosen.size());
  });
  cr_assert(Holds);
}

Test(WitnessSelector, NoneWhenTooFew) {
  WitnessSelector Selector({{"self", 1}, "east", "a"});
  cr_assert(Selector.choose({{{"b", 1}, "east", "b"}}, {}).empty());
}
