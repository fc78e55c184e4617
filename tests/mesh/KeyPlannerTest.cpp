#include "mesh/KeyPlanner.h"

#include <criterion/criterion.h>

using namespace hemlockspar;
using std::chrono::milliseconds;

namespace {

const TimePoint Now{std::chrono::seconds(100)};

OwnerCandidate member(const std::string &Name, double Load = 0) {
  return {{Name, {"server-" + Name, 1}}, Load};
}

} // namespace

Test(KeyPlanner, FirstLayoutIsEven) {
  KeyMap Map = initialLayout({member("a"), member("b"), member("c")});
  for (const char *Name : {"a", "b", "c"}) {
    cr_assert(Map.keyCount(Name) >= 21845 && Map.keyCount(Name) <= 21846);
  }
}

Test(KeyPlanner, SpreadEvensOutWhatWasLost) {
  KeyMap Map = initialLayout(
      {member("a"), member("b"), member("c"), member("d"), member("e")});
  std::vector<KeySpan> Lost;
  for (const KeyMapEntry &Entry : Map.entriesOf("c")) {
    Lost.push_back(Entry.Keys);
  }
  std::vector<OwnerCandidate> Left = {member("a"), member("b"), member("d"),
                                      member("e")};
  for (const PlannedHandover &Gift : distributeEvenly(Map, Lost, Left)) {
    Map.assign(Gift.Keys, Gift.Receiver, "");
  }

  cr_assert_eq(Map.keyCount("c"), 0);
  for (const OwnerCandidate &Member : Left) {
    std::uint32_t Count = Map.keyCount(Member.Owner.Instance);
    cr_assert(Count > 15000 && Count < 18000, "%u", Count);
  }
}

Test(KeyPlanner, OnlyTheBusiestOffersToAJoiner) {
  std::vector<OwnerCandidate> Members = {member("a", 0.2), member("b", 0.9),
                                         member("c", 0.8), member("d", 0.1)};
  KeyMap Map = initialLayout({Members[0], Members[1], Members[2], Members[3]});
  Members.push_back(member("new", 0));

  auto To = [&](const OwnerCandidate &Self) {
    auto To = chooseReceiver(Map, Self.Owner, Members, {}, Self.Load);
    return To ? std::optional(To->Owner) : std::nullopt;
  };
  cr_assert(To(Members[1]) && To(Members[1])->Instance == "new");
  cr_assert(To(Members[2]) && To(Members[2])->Instance == "new");
  cr_assert(!To(Members[0]));
  cr_assert(!To(Members[3]));
}

Test(KeyPlanner, SmallGapsMoveNothing) {
  std::vector<OwnerCandidate> Members = {member("a", 0.6), member("b", 0.5)};
  KeyMap Map = initialLayout(Members);
  cr_assert(!chooseReceiver(Map, Members[0].Owner, Members, {}, 0.6));

  Members[0].Load = 0.9;
  cr_assert(chooseReceiver(Map, Members[0].Owner, Members, {}, 0.9));
  cr_assert(!chooseReceiver(Map, Members[0].Owner, Members, {"b"}, 0.9));
}

/// The load pattern of a hot key: 35% of the requests on some neighbouring
/// keys. The cut falls between them, not beside them.
Test(KeyPlanner, CutsWithinHotKeys) {
  std::vector<OwnerCandidate> Members = {member("a", 1.2), member("b", 0.2)};
  KeyMap Map = initialLayout(Members);
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

Test(KeyLoads, FadesAndForgets) {
  KeyLoads Loads;
  Loads.record(7, milliseconds(1000), Now);
  double Fresh = Loads.loadOf({7, 7}, Now);
  cr_assert(Fresh > 0.4 && Fresh < 0.6);
  cr_assert(Loads.loadOf({8, 9}, Now) == 0);
  cr_assert(Loads.total(Now + std::chrono::seconds(4)) < Fresh / 5);

  Loads.prune(Now + std::chrono::seconds(60));
  cr_assert(Loads.total(Now) == 0);
}
