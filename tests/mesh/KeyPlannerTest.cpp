#include "mesh/KeyPlanner.h"

#include <criterion/criterion.h>

using namespace hemlockspar;
using std::chrono::milliseconds;

namespace {

const TimePoint Now{std::chrono::seconds(100)};

KeyMember member(const std::string &Name, double Load = 0) {
  return {{Name, {"server-" + Name, 1}}, Load};
}

} // namespace

Test(KeyPlanner, FirstLayoutIsEven) {
  KeyMap Map = firstLayout({member("a"), member("b"), member("c")});
  for (const char *Name : {"a", "b", "c"}) {
    cr_assert(Map.countOf(Name) >= 21845 && Map.countOf(Name) <= 21846);
  }
}

Test(KeyPlanner, SpreadEvensOutWhatWasLost) {
  KeyMap Map = firstLayout(
      {member("a"), member("b"), member("c"), member("d"), member("e")});
  std::vector<KeyRange> Lost;
  for (const OwnedKeys &Entry : Map.ownedBy("c")) {
    Lost.push_back(Entry.Keys);
  }
  std::vector<KeyMember> Left = {member("a"), member("b"), member("d"),
                                 member("e")};
  for (const PlannedGift &Gift : spread(Map, Lost, Left)) {
    Map.assign(Gift.Keys, Gift.To, "");
  }

  cr_assert_eq(Map.countOf("c"), 0);
  for (const KeyMember &Member : Left) {
    std::uint32_t Count = Map.countOf(Member.Holder.Instance);
    cr_assert(Count > 15000 && Count < 18000, "%u", Count);
  }
}

Test(KeyPlanner, OnlyTheBusiestOffersToAJoiner) {
  std::vector<KeyMember> Members = {member("a", 0.2), member("b", 0.9),
                                    member("c", 0.8), member("d", 0.1)};
  KeyMap Map = firstLayout({Members[0], Members[1], Members[2], Members[3]});
  Members.push_back(member("new", 0));

  auto To = [&](const KeyMember &Self) {
    auto To = chooseReceiver(Map, Self.Holder, Members, {}, Self.Load);
    return To ? std::optional(To->Holder) : std::nullopt;
  };
  cr_assert(To(Members[1]) && To(Members[1])->Instance == "new");
  cr_assert(To(Members[2]) && To(Members[2])->Instance == "new");
  cr_assert(!To(Members[0]));
  cr_assert(!To(Members[3]));
}

Test(KeyPlanner, SmallGapsMoveNothing) {
  std::vector<KeyMember> Members = {member("a", 0.6), member("b", 0.5)};
  KeyMap Map = firstLayout(Members);
  cr_assert(!chooseReceiver(Map, Members[0].Holder, Members, {}, 0.6));

  Members[0].Load = 0.9;
  cr_assert(chooseReceiver(Map, Members[0].Holder, Members, {}, 0.9));
  cr_assert(!chooseReceiver(Map, Members[0].Holder, Members, {"b"}, 0.9));
}

/// The load pattern of a hot key: 35% of the requests on some neighbouring
/// keys. The cut falls between them, not beside them.
Test(KeyPlanner, CutsWithinHotKeys) {
  std::vector<KeyMember> Members = {member("a", 1.2), member("b", 0.2)};
  KeyMap Map = firstLayout(Members);
  KeyLoads Loads;
  for (KeyNumber Key = 1000; Key < 1060; ++Key) {
    for (int Time = 0; Time < 4; ++Time) {
      Loads.record(Key, milliseconds(200), Now);
    }
  }

  auto Part = choosePart(Map.ownedBy("a"), 0.5, 1.2, Loads, Now);
  cr_assert(Part.has_value());
  double Moved = Loads.within(*Part, Now) / Loads.total(Now);
  cr_assert(Moved > 0.25 && Moved < 0.45, "%f", Moved);
}

Test(KeyLoads, FadesAndForgets) {
  KeyLoads Loads;
  Loads.record(7, milliseconds(1000), Now);
  double Fresh = Loads.within({7, 7}, Now);
  cr_assert(Fresh > 0.4 && Fresh < 0.6);
  cr_assert(Loads.within({8, 9}, Now) == 0);
  cr_assert(Loads.total(Now + std::chrono::seconds(4)) < Fresh / 5);

  Loads.prune(Now + std::chrono::seconds(60));
  cr_assert(Loads.total(Now) == 0);
}
