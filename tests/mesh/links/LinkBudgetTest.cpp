#include "mesh/links/LinkBudget.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <random>

using namespace hemlockspar;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double LinkBytesPerSecond = 10e6 / 8;

/// A link that carries one body after the other, as the network does.
struct SimulatedLink {
  void send(std::uint64_t Bytes, TimePoint Now) {
    auto Time = std::chrono::duration<double>(static_cast<double>(Bytes) /
                                              LinkBytesPerSecond);
    this->FreeAt = std::max(this->FreeAt, Now) +
                   std::chrono::duration_cast<Duration>(Time);
    this->Longest = std::max<Duration>(this->Longest, this->FreeAt - Now);
  }

  TimePoint FreeAt;
  Duration Longest{};
};

} // namespace

/// Uploads of 60 KB on average arrive at one and a half times the rate of a
/// link of 10 Mbit/s for 20 s. Unlimited, the last ones wait for many seconds.
/// With the budget, what arrives on the link never queues for longer than a
/// call of a running request can wait, while most of the link is in use.
Test(LinkBudget, UploadsAtOneAndAHalfTimesTheLink) {
  std::mt19937 Random(7);
  std::exponential_distribution<double> Pause(1.5 * LinkBytesPerSecond / 60000);
  std::lognormal_distribution<double> Size(std::log(50000), 0.6);
  constexpr auto MaxWait = milliseconds(360);
  TimePoint Start{seconds(100)};
  TimePoint Now = Start;
  LinkBudget Budget(LinkBytesPerSecond);
  SimulatedLink Unlimited;
  SimulatedLink Limited;
  std::uint64_t Admitted = 0;

  while (Now < Start + seconds(20)) {
    Now += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(Pause(Random)));
    auto Bytes = static_cast<std::uint64_t>(std::min(Size(Random), 360000.0));
    Unlimited.send(Bytes, Now);
    if (Budget.expectedWait(Now) <= MaxWait) {
      Budget.admit(Bytes, Now);
      Limited.send(Bytes, Now);
      Admitted += Bytes;
    }
  }

  cr_assert_gt(Unlimited.Longest.count(), Duration(seconds(5)).count());
  cr_assert_lt(Limited.Longest.count(), Duration(milliseconds(700)).count());
  cr_assert_geq(static_cast<double>(Admitted), 0.65 * 20 * LinkBytesPerSecond);
}

Test(LinkBudget, UnlimitedLinkAdmitsAll) {
  LinkBudget Budget(0);
  TimePoint Now{seconds(100)};
  for (int Count = 0; Count < 100; ++Count) {
    cr_assert(Budget.expectedWait(Now) == Duration::zero());
    Budget.admit(1 << 20, Now);
  }
}
