#include "mesh/ownership/RestoredKeys.h"

#include <criterion/criterion.h>

using namespace hemlockspar;
using std::chrono::seconds;

namespace {

const TimePoint Start(seconds(1000));

KeyMapEntry entry(KeyNumber First, KeyNumber Last, FencingToken Token) {
  return {{First, Last}, {"d0", {"s0", 1}}, Token, ""};
}

/// An instance that granted keys 0 to 99 before the store was restored.
RestoredKeys grantedBefore() {
  RestoredKeys Keys;
  Keys.observe(1, true, {entry(0, 99, 5)}, true, Start);
  return Keys;
}

} // namespace

/// Keys that the older map assigns here, but had moved away, are not granted.
Test(RestoredKeys, KeysThatHadMovedAreGranted) {
  RestoredKeys Keys = grantedBefore();
  std::vector<KeyMapEntry> Restored = {entry(0, 199, 5)};
  Keys.observe(2, false, Restored, true, Start + seconds(1));
  std::vector<KeyMapEntry> Granted = Keys.grantedBefore(Restored);
  cr_assert_eq(Granted.size(), 1);
  cr_assert(Granted[0].Keys == (KeyRange{0, 99}));
  cr_assert_gt(Keys.timeUntilLeasesEnd(Start + seconds(9)), seconds(0));
  cr_assert(Keys.timeUntilLeasesEnd(Start + seconds(10)) == seconds(0));
}

/// The same keys under another token were assigned anew meanwhile.
Test(RestoredKeys, KeysUnderAnotherTokenAreGranted) {
  RestoredKeys Keys = grantedBefore();
  std::vector<KeyMapEntry> Restored = {entry(0, 99, 4)};
  Keys.observe(2, false, Restored, true, Start + seconds(1));
  cr_assert(Keys.grantedBefore(Restored).empty());
}

/// Without a lease another instance may have taken over the keys.
Test(RestoredKeys, KeysAreGrantedAfterTheLeaseWasLost) {
  RestoredKeys Keys = grantedBefore();
  std::vector<KeyMapEntry> Restored = {entry(0, 99, 5)};
  Keys.observe(2, false, Restored, false, Start + seconds(1));
  Keys.observe(2, false, Restored, true, Start + seconds(2));
  cr_assert(Keys.grantedBefore(Restored).empty());
}

/// A process that started after the restoration does not know who held the
/// keys.
Test(RestoredKeys, NewProcessGrantsRestoredKeys) {
  RestoredKeys Keys;
  std::vector<KeyMapEntry> Restored = {entry(0, 99, 5)};
  Keys.observe(2, false, Restored, true, Start);
  cr_assert(Keys.grantedBefore(Restored).empty());
  cr_assert_not(Keys.hasSeenRestoration());
}

/// A second restoration before the map was confirmed leaves what was kept.
Test(RestoredKeys, SecondRestorationTakesKeysAway) {
  RestoredKeys Keys = grantedBefore();
  std::vector<KeyMapEntry> Restored = {entry(0, 199, 5)};
  Keys.observe(2, false, Restored, true, Start + seconds(1));
  Keys.observe(3, false, Restored, true, Start + seconds(2));
  std::vector<KeyMapEntry> Granted = Keys.grantedBefore(Restored);
  cr_assert_eq(Granted.size(), 1);
  cr_assert(Granted[0].Keys == (KeyRange{0, 99}));
}

/// Tokens of a map that is confirmed must exceed those of lost maps.
Test(RestoredKeys, TokensOfLostMapsAreUsedAgain) {
  KeyMap Map;
  Map.assign({0, 99}, {"d0", {"s0", 1}}, "");
  FencingToken Before = Map.find(0).Token;
  Map.confirmIn(2);
  auto Read = KeyMap::fromText(Map.toText());
  cr_assert(Read && Read->era() == 2);
  cr_assert_gt(Read->find(0).Token, Before + 1000000);
  cr_assert(Read->find(0).Owner.Instance == "d0");
}
