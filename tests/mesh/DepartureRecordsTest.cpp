#include "mesh/DepartureRecords.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace hemlockspar;

namespace {

std::map<InstanceId, InstanceRow> instancesNamed(int Count) {
  std::map<InstanceId, InstanceRow> Known;
  for (int Index = 0; Index < Count; ++Index) {
    InstanceId Name = "d" + std::to_string(Index);
    Known[Name].Instance = Name;
  }
  return Known;
}

} // namespace

/// Witnesses that have confirmed a departure and those that answer a query
/// always have one in common.
Test(DepartureRecords, QuorumsIntersect) {
  cr_assert_eq(departureReadQuorum(0), 0);
  for (std::size_t Witnesses = 1; Witnesses <= 5; ++Witnesses) {
    std::size_t Sum =
        departureWriteQuorum(Witnesses) + departureReadQuorum(Witnesses);
    cr_assert_eq(Sum, Witnesses + 1);
    cr_assert(departureWriteQuorum(Witnesses) >= 1);
    cr_assert(departureReadQuorum(Witnesses) >= 1);
  }
}

/// Witnesses are other instances, and one that joins replaces at most one.
Test(DepartureRecords, WitnessesAreStable) {
  cr_assert(selectDepartureWitnesses(instancesNamed(1), "d0").empty());
  cr_assert_eq(selectDepartureWitnesses(instancesNamed(3), "d0").size(), 2);

  auto Before = selectDepartureWitnesses(instancesNamed(40), "d0");
  auto After = selectDepartureWitnesses(instancesNamed(41), "d0");
  cr_assert_eq(Before.size(), 5);
  std::size_t Kept = 0;
  for (const InstanceId &Witness : Before) {
    cr_assert_neq(Witness, "d0");
    Kept += std::count(After.begin(), After.end(), Witness);
  }
  cr_assert(Kept >= 4);
}

/// The newest departure of an instance is kept, whatever the order of arrival.
Test(DepartureRecords, NewestDepartureIsKept) {
  DepartureRecords Records;
  cr_assert(!Records.find("d0"));
  cr_assert(Records.add("d0", {"b", 20}));
  cr_assert(Records.add("d0", {"a", 10}));
  cr_assert(Records.add("d1", {"c", 5}));
  cr_assert(Records.find("d0") == (ServerIncarnation{"b", 20}));
  cr_assert(Records.find("d1") == (ServerIncarnation{"c", 5}));
}
