#include "mesh/StoreClock.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace hemlockspar;
using std::chrono::milliseconds;

/// For any latency of a call in either direction and any difference in clock
/// speed, neither the lower bound of the store's clock nor the time until which
/// it is below a value is overestimated.
Test(StoreClock, NeverOverestimates) {
  cr_assert(rc::check([] {
    double Speed = 1.0 + *rc::gen::inRange(-19, 20) / 1000.0;
    auto Outbound = milliseconds(*rc::gen::inRange(0, 800));
    auto Inbound = milliseconds(*rc::gen::inRange(0, 800));
    auto Later = milliseconds(*rc::gen::inRange(0, 20000));
    auto Lease = milliseconds(*rc::gen::inRange(1000, 15000));

    // The store's time at a moment of this machine's clock.
    TimePoint Sent{std::chrono::seconds(50)};
    auto StoreAt = [&](TimePoint Moment) {
      return std::chrono::duration_cast<Duration>(std::chrono::hours(3) +
                                                  (Moment - Sent) * Speed);
    };

    StoreClock Clock;
    Clock.observe(StoreAt(Sent + Outbound), Sent, Sent + Outbound + Inbound);
    TimePoint Now = Sent + Outbound + Inbound + Later;
    RC_ASSERT(*Clock.earliestStoreTime(Now) <=
              StoreAt(Now) + std::chrono::microseconds(1));

    Duration End = StoreAt(Sent + Outbound) + Lease;
    TimePoint Until = *Clock.lastTimeBefore(End);
    RC_ASSERT(StoreAt(Until) <= End + std::chrono::microseconds(1));
  }));
}

Test(StoreClock, EmptyBeforeTheFirstResponse) {
  StoreClock Clock;
  cr_assert(!Clock.earliestStoreTime(TimePoint()));
  cr_assert(!Clock.lastTimeBefore(std::chrono::seconds(1)));
}
