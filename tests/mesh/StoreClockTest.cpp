#include "mesh/StoreClock.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace hemlockspar;
using std::chrono::milliseconds;

/// Whatever the ways of a call took and however the clocks differ in speed, the
/// store's clock is never said to be further, or to be below a time for longer,
/// than it is.
Test(StoreClock, NeverPromisesTooMuch) {
  cr_assert(rc::check([] {
    double Speed = 1.0 + *rc::gen::inRange(-19, 20) / 1000.0;
    auto There = milliseconds(*rc::gen::inRange(0, 800));
    auto Back = milliseconds(*rc::gen::inRange(0, 800));
    auto Later = milliseconds(*rc::gen::inRange(0, 20000));
    auto Lease = milliseconds(*rc::gen::inRange(1000, 15000));

    // The store's time at a moment of this machine's clock.
    TimePoint Sent{std::chrono::seconds(50)};
    auto StoreAt = [&](TimePoint Moment) {
      return std::chrono::duration_cast<Duration>(std::chrono::hours(3) +
                                                  (Moment - Sent) * Speed);
    };

    StoreClock Clock;
    Clock.observe(StoreAt(Sent + There), Sent, Sent + There + Back);
    TimePoint Now = Sent + There + Back + Later;
    RC_ASSERT(*Clock.earliestStoreTime(Now) <=
              StoreAt(Now) + std::chrono::microseconds(1));

    Duration End = StoreAt(Sent + There) + Lease;
    TimePoint Until = *Clock.lastTimeBefore(End);
    RC_ASSERT(StoreAt(Until) <= End + std::chrono::microseconds(1));
  }));
}

Test(StoreClock, KnowsNothingAtFirst) {
  StoreClock Clock;
  cr_assert(!Clock.earliestStoreTime(TimePoint()));
  cr_assert(!Clock.lastTimeBefore(std::chrono::seconds(1)));
}
