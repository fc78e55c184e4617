#include "mesh/admission/UrgencyDiscipline.h"

#include "mesh/admission/RankedAdmission.h"
#include "mesh/admission/WaitBound.h"

#include <criterion/criterion.h>

using namespace hemlockspar;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint Start{seconds(100)};

struct DisciplineFixture {
  DisciplineFixture() {
    for (int Count = 0; Count < 10; ++Count) {
      this->Times.record("short", milliseconds(100));
      this->Times.record("long", milliseconds(400));
    }
  }

  QueuedRequest request(RequestNumber Number, std::uint32_t Rank,
                        const std::string &Route = "short",
                        Duration Objective = milliseconds(800)) {
    QueuedRequest Made;
    Made.Number = Number;
    Made.Rank = Rank;
    Made.Class = Route;
    Made.ArrivedAt = Start;
    Made.DueAt = Start + Objective;
    Made.Deadline = Start + seconds(2);
    return Made;
  }

  void makeStanding(std::uint32_t Rank) {
    this->Standing.onArrival(Rank, 50, 6, Start - seconds(5));
  }

  RunTimes Times;
  StandingQueue Standing;
  KindShares Shares;
  UrgencyDiscipline Queue{this->Times, this->Standing, this->Shares,
                          std::make_unique<EarliestDueOrder>()};
};

std::vector<RequestNumber> numbersOf(const std::vector<QueuedRequest> &Found) {
  std::vector<RequestNumber> Numbers;
  for (const QueuedRequest &Request : Found) {
    Numbers.push_back(Request.Number);
  }
  return Numbers;
}

} // namespace

/// A less urgent request must not start before a more urgent one, nor equal
/// ones out of order.
Test(UrgencyDiscipline, OrdersByRankThenDueTime) {
  DisciplineFixture Fixture;
  Fixture.Queue.push(Fixture.request(1, 2));
  Fixture.Queue.push(Fixture.request(2, 2));
  Fixture.Queue.push(Fixture.request(3, 2, "short", milliseconds(500)));
  Fixture.Queue.push(Fixture.request(4, 1));
  for (RequestNumber Number : {4, 3, 1, 2}) {
    cr_assert_eq(Fixture.Queue.pop(6, Start)->Number, Number);
  }
}

/// Requests that can no longer be in time must not hold capacity in a standing
/// queue; after a burst they wait behind the others; calls are kept.
Test(UrgencyDiscipline, ShedsLateRequestsOfStandingQueues) {
  TimePoint Late = Start + milliseconds(750);
  DisciplineFixture Burst;
  Burst.Queue.push(Burst.request(1, 2));
  Burst.Queue.push(Burst.request(2, 2, "short", milliseconds(900)));
  cr_assert(Burst.Queue.removeLate(Late).empty());
  cr_assert_eq(Burst.Queue.pop(6, Late)->Number, 2);

  DisciplineFixture Lasting;
  Lasting.makeStanding(0);
  Lasting.makeStanding(2);
  Lasting.Queue.push(Lasting.request(1, 2));
  Lasting.Queue.push(Lasting.request(2, 0));
  cr_assert(numbersOf(Lasting.Queue.removeLate(Late)) ==
            std::vector<RequestNumber>{1});
  cr_assert(numbersOf(Lasting.Queue.removeLate(Start + milliseconds(1950))) ==
            std::vector<RequestNumber>{2});
  cr_assert_eq(Lasting.Queue.size(), 0);
}

/// A more urgent request displaces the least urgent one with the most work; an
/// equal one displaces nothing.
Test(UrgencyDiscipline, DisplacesLeastUrgent) {
  DisciplineFixture Fixture;
  Fixture.Queue.push(Fixture.request(1, 2));
  Fixture.Queue.push(Fixture.request(2, 2, "long"));
  Fixture.Queue.push(Fixture.request(3, 1));
  cr_assert_not(Fixture.Queue.displaceFor(Fixture.request(4, 2)));
  cr_assert_eq(Fixture.Queue.displaceFor(Fixture.request(4, 1))->Number, 2);
  cr_assert_eq(Fixture.Queue.displaceFor(Fixture.request(5, 1))->Number, 1);
  cr_assert_eq(Fixture.Queue.size(), 1);
}

/// Requests that would start too late behind more urgent ones are refused when
/// those arrive, not when their time is over.
Test(UrgencyDiscipline, RemovesExcessAtOnce) {
  DisciplineFixture Fixture;
  Fixture.makeStanding(2);
  Fixture.Queue.push(Fixture.request(1, 2));
  cr_assert(Fixture.Queue.removeExcess(1, Start).empty());
  for (RequestNumber Number = 2; Number < 10; ++Number) {
    Fixture.Queue.push(Fixture.request(Number, 1));
  }
  cr_assert(numbersOf(Fixture.Queue.removeExcess(1, Start)) ==
            std::vector<RequestNumber>{1});
}

/// A kind that is hardly ever started is owed a slot, but not ahead of calls
/// before it is far below its share.
Test(KindShares, OweStarvingKinds) {
  KindShares Shares;
  for (int Count = 0; Count < 100; ++Count) {
    Shares.onArrival({1, "a"}, Start);
    Shares.onStarted({1, "a"}, Start);
    Shares.onArrival({3, "b"}, Start);
  }
  cr_assert(Shares.isOwed({3, "b"}, 1, Start));
  cr_assert_not(Shares.isOwed({1, "a"}, 1, Start));
  for (int Count = 0; Count < 18; ++Count) {
    Shares.onStarted({3, "b"}, Start);
  }
  cr_assert(Shares.isOwed({3, "b"}, 1, Start));
  cr_assert_not(Shares.isOwed({3, "b"}, KindShares::UrgentFraction, Start));
}

/// Answers of a standing queue must be in time; a wait up to the deadline is
/// left to bursts and to routes that never meet their objective.
Test(WaitBound, LeavesRoomForTheRun) {
  RankedWaitBounds Bounds{seconds(9),
                          milliseconds(800),
                          seconds(2),
                          milliseconds(800),
                          {milliseconds(400), milliseconds(50), 9},
                          true};
  cr_assert(maxRankedWait(Bounds) == milliseconds(300));
  Bounds.QueueStanding = false;
  cr_assert(maxRankedWait(Bounds) > milliseconds(600));
  Bounds.QueueStanding = true;
  Bounds.ToObjective = milliseconds(300);
  cr_assert(maxRankedWait(Bounds) == Duration::zero());
  Bounds.RouteObjective = milliseconds(300);
  cr_assert(maxRankedWait(Bounds) == milliseconds(400));
}

/// A service whose routes have one priority keeps its queue; waiting requests
/// survive the change.
Test(RankedAdmission, TakesEffectWithDifferentPriorities) {
  ServiceTimeEstimator RouteTimes;
  StandingQueue Standing;
  AdmissionQueue Queue({1, 64, false}, RouteTimes,
                       std::make_unique<PriorityDiscipline>(RouteTimes));
  RankedAdmission Ranked(Queue, RouteTimes, Standing);
  Configuration Same;
  Same.Routes.resize(2);
  Same.Routes[0].Targets = Same.Routes[1].Targets = {{"s", 1}};
  Configuration Different = Same;
  Different.Routes[1].Priority = 2;

  Ranked.configure(std::make_shared<Configuration>(Same), "s", Start);
  cr_assert_not(Ranked.isActive());
  for (RequestNumber Number = 1; Number <= 3; ++Number) {
    Queue.offer({Number, "r", "", Start, Start + seconds(9)}, Start);
  }
  cr_assert_eq(Queue.poll(Start).size(), 1);
  Ranked.configure(std::make_shared<Configuration>(Different), "other", Start);
  cr_assert_not(Ranked.isActive());
  Ranked.configure(std::make_shared<Configuration>(Different), "s", Start);
  cr_assert(Ranked.isActive());
  cr_assert_eq(Queue.waiting(), 2);
  Queue.onFinished(1, milliseconds(10), false, Start);
  cr_assert_eq(Queue.poll(Start).front().Request, 2);
}
