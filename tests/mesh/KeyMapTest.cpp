#include "mesh/KeyMap.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace hemlockspar;

namespace {

KeyMapOwner makeOwner(int Number) {
  return {"i" + std::to_string(Number), {"s" + std::to_string(Number), 7}};
}

KeyRange anyRange() {
  KeyNumber First = *rc::gen::inRange<KeyNumber>(0, MaxKey + 1);
  KeyNumber Second = *rc::gen::inRange<KeyNumber>(0, MaxKey + 1);
  return {std::min(First, Second), std::max(First, Second)};
}

/// All keys are covered, in order and without gaps.
void assertCovers(const KeyMap &Map) {
  KeyNumber Next = 0;
  for (const KeyMapEntry &Entry : Map.entries()) {
    RC_ASSERT(Entry.Keys.First == Next);
    RC_ASSERT(Entry.Keys.Last >= Entry.Keys.First);
    Next = Entry.Keys.Last + 1;
  }
  RC_ASSERT(Next == MaxKey + 1);
}

} // namespace

Test(KeyMap, AssignsKeysUnderRisingTokens) {
  cr_assert(rc::check([] {
    KeyMap Map;
    int Steps = *rc::gen::inRange(1, 30);

    for (int Step = 0; Step < Steps; ++Step) {
      KeyRange Keys = anyRange();
      KeyNumber Probe = *rc::gen::inRange<KeyNumber>(0, MaxKey + 1);
      FencingToken Before = Map.find(Probe).Token;
      KeyMapOwner Owner = Map.find(Probe).Owner;
      KeyMapOwner Fresh = makeOwner(*rc::gen::inRange(0, 4));

      Map.assign(Keys, Fresh, "state");
      assertCovers(Map);
      const KeyMapEntry &After = Map.find(Probe);
      if (Keys.contains(Probe)) {
        RC_ASSERT(After.Owner == Fresh);
        RC_ASSERT(After.Token > Before);
      } else {
        RC_ASSERT(After.Owner == Owner);
        RC_ASSERT(After.Token == Before);
      }
    }
  }));
}

Test(KeyMap, RoundTripsThroughText) {
  cr_assert(rc::check([] {
    KeyMap Map;
    for (int Step = 0; Step < 10; ++Step) {
      Map.assign(anyRange(), makeOwner(Step % 3), Step % 2 ? "a\"b" : "");
    }
    auto Read = KeyMap::fromText(Map.toText());
    RC_ASSERT(Read.has_value());
    RC_ASSERT(Read->toText() == Map.toText());

    // A key that is reassigned gets a token above all others, also after a
    // round trip through text.
    Read->assign({5, 5}, makeOwner(9), "");
    for (const KeyMapEntry &Entry : Map.entries()) {
      RC_ASSERT(Read->find(5).Token > Entry.Token);
    }
  }));
}

Test(KeyMap, RejectsTextWithGapsAndOverlaps) {
  const char *Wrong[] = {
      "",
      "[]",
      "{}",
      R"({"token":1,"keys":[]})",
      R"({"token":1,"keys":[[0,5,"a","b",1,1,""]]})",
      R"({"token":1,"keys":[[0,5,"a","b",1,1,""],[7,65535,"a","b",1,1,""]]})",
      R"({"token":1,"keys":[[0,9,"a","b",1,1,""],[7,65535,"a","b",1,1,""]]})",
      R"({"token":1,"keys":[[0,65535,"a","b",1,2,""]]})",
      R"({"token":1,"keys":[[0,65536,"a","b",1,1,""]]})",
      R"({"token":1,"keys":[[0,65535,"a","b","x",1,""]]})"};
  for (const char *Text : Wrong) {
    cr_assert(!KeyMap::fromText(Text), "%s was accepted", Text);
  }
}
