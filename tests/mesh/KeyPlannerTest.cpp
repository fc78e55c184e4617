#include "mesh/KeyPlanner.h"

#include <criterion/criterion.h>

using namespace hemlockspar;
using std::chrono::milliseconds;

namespace {

const TimePoint Now{std::chrono::seconds(100)};

OwnerCandidate makeCandidate(const std::string &Name, double Load = 0) {
  return {{Name, {"server-" + Name, 1}}, Load};
}

} // namespace

Test(KeyPlanner, FirstLayoutIsEven) {
  KeyMap Map = initialLayout(
      {makeCandidate("a"), makeCandidate("b"), makeCandidate("c")});
  for (const char *Name : {"a", "b", "c"}) {
    cr_assert(Map.keyCount(Name) >= 21845 && Map.keyCount(Name) <= 21846);
  }
}

Test(KeyPlanner, DistributesLostKeysEvenly) {
  KeyMap Map =
      initialLayout({makeCandidate("a"), makeCandidate("b"), makeCandidate("c"),
                     makeCandidate("d"), makeCandidate("e")});
  std::vector<KeyRange> Lost;
  for (const KeyMapEntry &Entry : Map.entriesOf("c")) {
    Lost.push_back(Entry.Keys);
  }
  std::vector<OwnerCandidate> Remaining = {
      makeCandidate("a"), makeCandidate("b"), makeCandidate("d"),
      makeCandidate("e")};
  for (const PlannedHandover &Handover :
       distributeEvenly(Map, Lost, Remaining)) {
    Map.assign(Handover.Keys, Handover.Receiver, "");
  }

  cr_assert_eq(Map.keyCount("c"), 0);
  for (const OwnerCandidate &Candidate : Remaining) {
    std::uint32_t Count = Map.keyCount(Candidate.Owner.Instance);
    cr_assert(Count > 15000 && Count < 18000, "%u", Count);
  }
}

Test(KeyPlanner, OnlyTheBusiestOfferToANewServer) {
  std::vector<OwnerCandidate> Candidates = {
      makeCandidate("a", 0.2), makeCandidate("b", 0.9), makeCandidate("c", 0.8),
      makeCandidate("d", 0.1)};
  KeyMap Map = initialLayout(
      {Candidates[0], Candidates[1], Candidates[2], Candidates[3]});
  Candidates.push_back(makeCandidate("new", 0));

  auto To = [&](const OwnerCandidate &Self) {
    auto To = chooseReceiver(Map, Self.Owner, Candidates, {}, Self.Load);
    return To ? std::optional(To->Owner) : std::nullopt;
  };
  cr_assert(To(Candidates[1]) && To(Candidates[1])->Instance == "new");
  cr_assert(To(Candidates[2]) && To(Candidates[2])->Instance == "new");
  cr_assert(!To(Candidates[0]));
  cr_assert(!To(Candidates[3]));
}

Test(KeyPlanner, SmallGapsMoveNothing) {
  std::vector<OwnerCandidate> Candidates = {makeCandidate("a", 0.6),
                                            makeCandidate("b", 0.5)};
  KeyMap Map = initialLayout(Candidates);
  cr_assert(!chooseReceiver(Map, Candidates[0].Owner, Candidates, {}, 0.6));

  Candidates[0].Load = 0.9;
  cr_assert(chooseReceiver(Map, Candidates[0].Owner, Candidates, {}, 0.9));
  cr_assert(!chooseReceiver(Map, Candidates[0].Owner, Candidates, {"b"}, 0.9));
}

/// Hot keys: 35% of the requests fall on a few adjacent keys. The split must
/// fall between them, not beside them.
Test(KeyPlanner, SplitsWithinHotKeys) {
  std::vector<OwnerCandidate> Candidates = {makeCandidate("a", 1.2),
                                            makeCandidate("b", 0.2)};
  KeyMap Map = initialLayout(Candidates);
  KeyLoads Loads;
  for (KeyNumber Key = 1000; Key < 1060; ++Key) {
    for (int Time = 0; Time < 4; ++Time) {
      Loads.record(Key, milliseconds(200), Now);
    }
  }

  auto Part = selectKeysByLoad(Map.entriesOf("a"), 0.5, 1.2, Loads, Now);
  cr_assert(Part.has_value());
  double Moved = Loads.loadOf(*Part, Now) / Loads.total(Now);
  cr_assert(Moved > 0.25 && Moved < 0.45, "%f", Moved);
}

Test(KeyLoads, DecaysAndPrunes) {
  KeyLoads Loads;
  Loads.record(7, milliseconds(1000), Now);
  double Fresh = Loads.loadOf({7, 7}, Now);
  cr_assert(Fresh > 0.4 && Fresh < 0.6);
  cr_assert(Loads.loadOf({8, 9}, Now) == 0);
  cr_assert(Loads.total(Now + std::chrono::seconds(4)) < Fresh / 5);

  Loads.prune(Now + std::chrono::seconds(60));
  cr_assert(Loads.total(Now) == 0);
}
