#include "tests/soak/SoakRun.h"

#include <absl/strings/str_join.h>
#include <criterion/criterion.h>

using namespace hemlockspar;
using std::chrono::seconds;

namespace {

void assertKept(std::uint32_t Seed, int Number) {
  SoakRun::Terms Terms;
  Terms.Seed = Seed;
  Terms.Number = Number;
  SoakRun Run(Terms);
  bool Kept = Run.run();
  cr_assert(Kept, "%s\n%s", Run.summary().c_str(),
            absl::StrJoin(Run.complaints(), "\n").c_str());
}

} // namespace

/// Two seeds in each run of the tests; more are played by hand, see
/// docs/PROOFS.md.
Test(Soak, PromisesAreKept) {
  assertKept(1, 90);
  assertKept(2, 90);
}

/// The soak can fail: a backend server that runs everything twice is seen.
Test(Soak, ABrokenPromiseIsSeen) {
  SoakRun::Terms Terms;
  Terms.Number = 91;
  Terms.Length = seconds(2);
  Terms.RunTwice = true;
  SoakRun Run(Terms);
  cr_assert_not(Run.run());
  bool Seen = false;
  for (const std::string &Complaint : Run.complaints()) {
    Seen = Seen || Complaint.starts_with("ran more than once");
  }
  cr_assert(Seen);
}

Test(Soak, PlansRepeatBySeed) {
  auto First = makeSoakPlan(9, 6, seconds(10));
  auto Second = makeSoakPlan(9, 6, seconds(10));
  auto Other = makeSoakPlan(10, 6, seconds(10));
  cr_assert_eq(First.size(), Second.size());
  for (std::size_t Index = 0; Index < First.size(); ++Index) {
    cr_assert(First[Index].toText() == Second[Index].toText());
  }
  cr_assert(First.size() != Other.size() ||
            First[0].toText() != Other[0].toText());
}
