#include "net/MemoryBudget.h"

#include "net/LogLimiter.h"

#include <criterion/criterion.h>

using namespace hemlockspar;
using Reservation = MemoryBudget::Reservation;
using std::chrono::seconds;

namespace {

/// The memory of most machines: 96 MB are the budget, 72 MB for large messages.
constexpr std::uint64_t MachineMb = 160;
constexpr std::uint64_t LargestBody = 64 << 20;
const TimePoint Start = TimePoint() + seconds(100);

struct Fixture {
  MemoryBudgetPtr Budget = std::make_shared<MemoryBudget>(MachineMb);
  int Drops = 0;
};

} // namespace

/// One body of the largest size must be served, a second one does not fit.
Test(MemoryBudget, HoldsOneBodyOfTheLargestSize) {
  Fixture F;
  Reservation First(F.Budget, HolderKind::Request);
  cr_assert(First.grow(LargestBody + (1 << 20), Start));
  Reservation Second(F.Budget, HolderKind::Request);
  cr_assert_not(Second.grow(LargestBody, Start));
  cr_assert_eq(F.Budget->usage(HolderKind::Request).Refused, 1);
  First.release();
  cr_assert(Second.grow(LargestBody, Start));
}

/// Large messages must not crowd out small ones.
Test(MemoryBudget, KeepsAShareForSmallMessages) {
  Fixture F;
  Reservation Large(F.Budget, HolderKind::Request);
  cr_assert(Large.grow(F.Budget->largeLimit(), Start));
  Reservation Small(F.Budget, HolderKind::Request);
  cr_assert(Small.grow(SmallMessageBytes, Start));
  cr_assert_not(Small.grow(SmallMessageBytes + 1, Start),
                "a message that grows large must be counted as large");
}

/// A transfer that stops is dropped in favour of a newcomer, one that makes
/// progress is not.
Test(MemoryBudget, DropsOnlyStalledTransfers) {
  Fixture F;
  Reservation Stalled(F.Budget, HolderKind::Request);
  Reservation Active(F.Budget, HolderKind::Request);
  Stalled.setDroppable([&] { ++F.Drops; }, Start);
  Active.setDroppable([&] { F.Drops += 100; }, Start);
  cr_assert(Stalled.grow(30 << 20, Start));
  cr_assert(Active.grow(30 << 20, Start));

  Reservation Newcomer(F.Budget, HolderKind::Request);
  cr_assert_not(Newcomer.grow(30 << 20, Start + seconds(1)));
  Active.onProgress(Start + seconds(4));
  cr_assert(Newcomer.grow(30 << 20, Start + seconds(5)));
  cr_assert_eq(F.Drops, 1);
  cr_assert(Stalled.isDropped());
  cr_assert_not(Stalled.grow(1, Start + seconds(5)));
}

/// Nothing is dropped when that would not make enough room.
Test(MemoryBudget, DropsNothingInVain) {
  Fixture F;
  Reservation Stalled(F.Budget, HolderKind::Request);
  Stalled.setDroppable([&] { ++F.Drops; }, Start);
  cr_assert(Stalled.grow(1 << 20, Start));
  Reservation Pinned(F.Budget, HolderKind::Request);
  cr_assert(Pinned.grow(60 << 20, Start));
  Reservation Newcomer(F.Budget, HolderKind::Request);
  cr_assert_not(Newcomer.grow(30 << 20, Start + seconds(9)));
  cr_assert_eq(F.Drops, 0);
}

/// What is released or dropped must not stay counted.
Test(MemoryBudget, CountsWhatIsHeld) {
  Fixture F;
  {
    Reservation Held(F.Budget, HolderKind::Response);
    Held.charge(F.Budget->largeLimit() * 2, Start);
    cr_assert_eq(F.Budget->usage(HolderKind::Response).HeldBytes,
                 F.Budget->largeLimit() * 2);
  }
  cr_assert_eq(F.Budget->usage(HolderKind::Response).HeldBytes, 0);
  cr_assert_eq(F.Budget->usage(HolderKind::Response).Refused, 0);
}

/// Refusals must not fill the log.
Test(LogLimiter, BoundsTheLines) {
  LogLimiter Limiter;
  int Written = 0;
  for (int Count = 0; Count < 1000; ++Count) {
    Written += Limiter.admit(Start) ? 1 : 0;
  }
  cr_assert_eq(Written, 10);
  cr_assert_eq(Limiter.admit(Start + seconds(1)).value_or(0), 990);
}
