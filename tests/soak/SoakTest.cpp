#include "tests/soak/SoakRun.h"

#include <absl/strings/str_join.h>
#include <criterion/criterion.h>

using namespace hemlockspar;
using std::chrono::seconds;

namespace {

void assertNoViolations(std::uint32_t Seed, int LoopbackNetwork) {
  SoakRun::Options Options;
  Options.Seed = Seed;
  Options.LoopbackNetwork = LoopbackNetwork;
  SoakRun Run(Options);
  bool Passed = Run.run();
  cr_assert(Passed, "%s\n%s", Run.summary().c_str(),
            absl::StrJoin(Run.violations(), "\n").c_str());
}

} // namespace

/// Only two seeds, to keep the test short; docs/PROOFS.md describes longer runs
/// with the soak program.
Test(Soak, PromisesAreKept) {
  assertNoViolations(1, 90);
  assertNoViolations(2, 90);
}

/// Guards against a soak test that cannot fail: backend servers that run every
/// request twice must be reported as a violation.
Test(Soak, ABrokenPromiseIsSeen) {
  SoakRun::Options Options;
  Options.LoopbackNetwork = 91;
  Options.Length = seconds(2);
  Options.RunTwice = true;
  SoakRun Run(Options);
  cr_assert_not(Run.run());
  bool Seen = false;
  for (const std::string &Violation : Run.violations()) {
    Seen = Seen || Violation.starts_with("ran more than once");
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
