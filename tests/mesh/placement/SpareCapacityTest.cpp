#include "mesh/placement/SpareCapacity.h"

#include <criterion/criterion.h>

using namespace hemlockspar;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// An owner under load that must give up all its keys must not overload one
/// receiver while others have room.
Test(SpareCapacity, LoadGoesWhereThereIsRoom) {
  TimePoint Now{seconds(500)};
  KeyMap Map;
  Map.assign({0, MaxKey}, {"giver", {"s", 1}}, "");
  KeyLoads Loads;
  for (KeyNumber Key = 0; Key < 600; ++Key) {
    Loads.record(Key, milliseconds(20), Now);
  }
  std::vector<OwnerCandidate> Candidates = {{{"full", {"f", 1}}, 0.9},
                                            {{"half", {"h", 1}}, 0.5},
                                            {{"idle", {"i", 1}}, 0.0}};

  std::map<InstanceId, double> Received;
  std::uint32_t Moved = 0;
  for (const PlannedHandover &Planned : distributeBySpareCapacity(
           Map, {{0, MaxKey}}, Candidates, Loads, 6, Now)) {
    Received[Planned.Receiver.Instance] += Loads.loadOf(Planned.Keys, Now);
    Moved += Planned.Keys.size();
  }
  cr_assert_eq(Moved, MaxKey + 1, "every key has a receiver");
  cr_assert_gt(Received["idle"], Received["half"]);
  cr_assert_gt(Received["half"], Received["full"]);
}

/// Without any known load keys are distributed by their number.
Test(SpareCapacity, WithoutLoadKeysAreSpreadEvenly) {
  TimePoint Now{seconds(500)};
  KeyMap Map;
  Map.assign({0, MaxKey}, {"giver", {"s", 1}}, "");
  std::vector<OwnerCandidate> Candidates = {{{"a", {"a", 1}}, 0.0},
                                            {{"b", {"b", 1}}, 0.0}};
  auto Planned = distributeBySpareCapacity(Map, {{0, MaxKey}}, Candidates,
                                           KeyLoads(), 6, Now);
  cr_assert_eq(Planned.size(), 2);
}
