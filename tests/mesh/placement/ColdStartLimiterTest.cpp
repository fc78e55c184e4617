#include "mesh/placement/ColdStartLimiter.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <vector>

using namespace hemlockspar;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double Tolerated = 7.8;

struct LimiterFixture {
  LimiterFixture() { this->Limiter.setTolerated(Tolerated); }

  /// Offers one request every \p Gap for \p Span and sends what is admitted.
  void offer(Duration Span, Duration Gap, std::uint32_t Rank = 0) {
    for (TimePoint End = this->Now + Span; this->Now < End; this->Now += Gap) {
      if (this->Limiter.tryReserve(Rank, this->Now) &&
          this->Limiter.trySend(Rank, this->Now)) {
        this->SentAt.push_back(this->Now);
      }
    }
  }

  /// The most requests that were sent within any second from \p From on.
  std::size_t mostInASecond(TimePoint From) const {
    std::size_t Most = 0;
    for (auto First = this->SentAt.begin(); First != this->SentAt.end();
         ++First) {
      auto End =
          std::lower_bound(First, this->SentAt.end(), *First + seconds(1));
      if (*First >= From) {
        Most = std::max(Most, static_cast<std::size_t>(End - First));
      }
    }
    return Most;
  }

  TimePoint Now{seconds(500)};
  ColdStartLimiter Limiter;
  std::vector<TimePoint> SentAt;
};

} // namespace

/// A cold server under full demand must not get more than it tolerates in any
/// second, at whatever moment the second begins.
Test(ColdStartLimiter, HoldsInEverySlidingSecond) {
  LimiterFixture Fixture;
  Fixture.Limiter.setColdUntil(Fixture.Now + seconds(10));
  Fixture.offer(seconds(10), milliseconds(7));
  cr_assert_eq(Fixture.mostInASecond(TimePoint{}), 7);
}

/// What was sent before the server was known to be cold counts: otherwise the
/// second in which that becomes known gets twice the limit.
Test(ColdStartLimiter, CountsWhatWasSentBefore) {
  LimiterFixture Fixture;
  Fixture.offer(milliseconds(500), milliseconds(50));
  cr_assert_eq(Fixture.SentAt.size(), 10);
  Fixture.Limiter.setColdUntil(Fixture.Now + seconds(10));
  cr_assert_not(Fixture.Limiter.tryReserve(0, Fixture.Now));
}

/// Requests that wait for a slot count before they are sent.
Test(ColdStartLimiter, CountsReservations) {
  LimiterFixture Fixture;
  Fixture.Limiter.setColdUntil(Fixture.Now + seconds(10));
  for (int Count = 0; Count < 7; ++Count) {
    cr_assert(Fixture.Limiter.tryReserve(0, Fixture.Now));
  }
  cr_assert_not(Fixture.Limiter.tryReserve(0, Fixture.Now));
  Fixture.Limiter.onDropped();
  cr_assert(Fixture.Limiter.tryReserve(0, Fixture.Now));
}

/// Requests that were reserved while the server was warm must not be sent
/// beyond the limit once it is cold.
Test(ColdStartLimiter, ReservationsOfAWarmServerExceedNoLimit) {
  LimiterFixture Fixture;
  for (int Count = 0; Count < 40; ++Count) {
    cr_assert(Fixture.Limiter.tryReserve(0, Fixture.Now));
  }
  Fixture.Limiter.setColdUntil(Fixture.Now + seconds(10));
  int Sent = 0;
  for (int Count = 0; Count < 40; ++Count) {
    Sent += Fixture.Limiter.trySend(0, Fixture.Now) ? 1 : 0;
  }
  cr_assert_eq(Sent, 7);
}

/// A limit that a new configuration declares counts what was sent before it.
Test(ColdStartLimiter, CountsWhatWasSentBeforeTheLimitWasDeclared) {
  LimiterFixture Fixture;
  Fixture.Limiter.setTolerated(0);
  Fixture.Limiter.setColdUntil(Fixture.Now + seconds(10));
  Fixture.offer(milliseconds(200), milliseconds(10));
  Fixture.Limiter.setTolerated(Tolerated);
  cr_assert_not(Fixture.Limiter.tryReserve(0, Fixture.Now));
}

/// At the end of the cold the demand must not arrive all at once.
Test(ColdStartLimiter, GrowsSteadilyAfterTheCold) {
  LimiterFixture Fixture;
  TimePoint End = Fixture.Now + seconds(1);
  Fixture.Limiter.setColdUntil(End);
  Fixture.offer(seconds(2), milliseconds(2));
  cr_assert_leq(Fixture.mostInASecond(TimePoint{}), 32);
  Fixture.offer(seconds(3), milliseconds(2));
  cr_assert_geq(Fixture.mostInASecond(End + seconds(3)), 400);
  cr_assert_not(Fixture.Limiter.isActive(End + seconds(3)));
}

/// While urgent requests are refused, less urgent ones must not take the whole
/// limit, but get a part of it.
Test(ColdStartLimiter, UrgentRequestsComeFirst) {
  LimiterFixture Fixture;
  Fixture.Limiter.setColdUntil(Fixture.Now + seconds(20));
  int Sent[2] = {0, 0};
  for (int Count = 0; Count < 2000; ++Count) {
    std::uint32_t Rank = Count % 4 == 0 ? 0 : 1;
    if (Fixture.Limiter.tryReserve(Rank, Fixture.Now) &&
        Fixture.Limiter.trySend(Rank, Fixture.Now)) {
      ++Sent[Rank];
    }
    Fixture.Now += milliseconds(5);
  }
  cr_assert_gt(Sent[0], 2 * Sent[1]);
  cr_assert_gt(Sent[1], 0);
}

/// Without a declared limit nothing is held back.
Test(ColdStartLimiter, WithoutALimitNothingIsRefused) {
  LimiterFixture Fixture;
  Fixture.Limiter.setTolerated(0);
  Fixture.Limiter.setColdUntil(TimePoint::max());
  Fixture.offer(seconds(1), milliseconds(1));
  cr_assert_eq(Fixture.SentAt.size(), 1000);
}

/// A limit below one request per second must not refuse everything.
Test(ColdStartLimiter, LimitBelowOneRequestPerSecond) {
  LimiterFixture Fixture;
  Fixture.Limiter.setTolerated(0.5);
  Fixture.Limiter.setColdUntil(Fixture.Now + seconds(20));
  Fixture.offer(seconds(10), milliseconds(10));
  cr_assert_eq(Fixture.SentAt.size(), 5);
}
