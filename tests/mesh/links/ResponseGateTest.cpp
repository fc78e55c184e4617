#include "mesh/links/ResponseGate.h"

#include <array>
#include <boost/asio/detached.hpp>
#include <criterion/criterion.h>

using namespace hemlockspar;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// On the share of this link a response takes 7 s, longer than any test.
constexpr double SlowLink = 1e4;
constexpr std::uint64_t Bytes = 49000;

struct GateFixture {
  explicit GateFixture(double BytesPerSecond)
      : Gate(Io, BytesPerSecond, Responses, Counters) {
    this->Context.RouteName = "r-files";
    this->Context.ObjectiveAt = BootClock::now() + seconds(2);
    this->Context.Deadline = BootClock::now() + seconds(60);
  }

  /// Waits with response \p Index in a coroutine of its own.
  void respond(std::size_t Index, std::uint64_t Size) {
    boost::asio::spawn(
        this->Io,
        [this, Index, Size](const boost::asio::yield_context &Yield) {
          this->Gate.waitForTurn(this->Context, Size, this->Watches[Index],
                                 Yield);
          this->Left.push_back(Index);
        },
        boost::asio::detached);
  }

  void run() { this->Io.run_for(milliseconds(50)); }

  boost::asio::io_context Io;
  RouteResponses Responses;
  MeshMetrics Counters;
  ResponseGate Gate;
  AttemptContext Context;
  std::array<CallerWatch, 4> Watches;
  std::vector<std::size_t> Left;
};

} // namespace

/// Callers that disconnect behind a response on its way: they must leave at
/// once and keep no place, while a small response does not wait at all.
Test(ResponseGate, DisconnectedCallersKeepNoPlace) {
  GateFixture Fixture(SlowLink);
  for (std::size_t Index : {0, 1, 2}) {
    Fixture.respond(Index, Bytes);
  }
  Fixture.respond(3, LargeBodyBytes);
  Fixture.run();
  std::vector<std::size_t> Expected = {0, 3};
  cr_assert(Fixture.Left == Expected);
  cr_assert_gt(Fixture.Gate.backlog().count(), Duration(seconds(20)).count());

  Fixture.Watches[1].Disconnected = true;
  Fixture.Watches[1].OnCancel();
  Fixture.run();
  Expected.push_back(1);
  cr_assert(Fixture.Left == Expected);
  cr_assert_lt(Fixture.Gate.backlog().count(), Duration(seconds(15)).count());
  cr_assert(!Fixture.Watches[1].OnCancel);
}

/// The process ends while responses wait: they must leave before.
Test(ResponseGate, WaitingResponsesLeaveBeforeTheEnd) {
  GateFixture Fixture(SlowLink);
  for (std::size_t Index : {0, 1, 2}) {
    Fixture.respond(Index, Bytes);
  }
  Fixture.run();
  cr_assert_eq(Fixture.Left.size(), 1);
  Fixture.Gate.openAt(BootClock::now());
  Fixture.run();
  cr_assert_eq(Fixture.Left.size(), 3);
  cr_assert(Fixture.Gate.backlog() == Duration::zero());
}

/// A deployment that does not state the rate of the link is served as before.
Test(ResponseGate, UnknownLinkHoldsNothingBack) {
  GateFixture Fixture(0);
  for (int Count = 0; Count < 10; ++Count) {
    Fixture.Responses.record("r-files", 540000, milliseconds(100));
  }
  Fixture.Context.ObjectiveAt = BootClock::now() - seconds(1);
  for (std::size_t Index : {0, 1, 2, 3}) {
    ResponseAdmission::Reservation Place;
    cr_assert(!Fixture.Gate.admit(Fixture.Context, Place));
    Fixture.respond(Index, 540000);
  }
  Fixture.run();
  cr_assert_eq(Fixture.Left.size(), 4);
  cr_assert(Fixture.Gate.backlog() == Duration::zero());
}

/// Requests whose response the link cannot carry in time are refused with the
/// wait, and counted.
Test(ResponseGate, RefusesWithTheWait) {
  GateFixture Fixture(SlowLink);
  for (int Count = 0; Count < 10; ++Count) {
    Fixture.Responses.record("r-files", Bytes, milliseconds(100));
  }
  Fixture.Context.Deadline = BootClock::now() + seconds(8);
  ResponseAdmission::Reservation First;
  ResponseAdmission::Reservation Second;
  cr_assert(!Fixture.Gate.admit(Fixture.Context, First));
  auto Refusal = Fixture.Gate.admit(Fixture.Context, Second);
  cr_assert(Refusal.has_value() && !Second);
  cr_assert(Refusal->Outcome == RequestOutcome::NotRun &&
            Refusal->Reason == AttemptReason::Busy);
  cr_assert(Refusal->ExpectedWait == seconds(7));
  cr_assert(Fixture.Counters.toText().find(
                "hemlockspar_link_refused_total 1") != std::string::npos);
}
