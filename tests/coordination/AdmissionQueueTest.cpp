#include "coordination/AdmissionQueue.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <set>

using namespace hemlockspar;
using std::chrono::milliseconds;

namespace {

/// An admission queue with its dependencies.
struct QueueFixture {
  QueueFixture(std::uint32_t Capacity, QueueOrder Order)
      : Queue({Capacity, 64}, ServiceTimes,
              makeDiscipline(Order, ServiceTimes)) {}

  void offer(RequestNumber Number, const std::string &Class,
             const std::string &Caller = "a",
             TimePoint Deadline = TimePoint::max()) {
    this->Queue.offer({Number, Class, Caller, this->Now, Deadline}, this->Now);
  }

  std::vector<RequestNumber> dispatched() {
    std::vector<RequestNumber> Numbers;
    for (const AdmissionDecision &Decision : this->Queue.poll(this->Now)) {
      if (Decision.Verdict == AdmissionVerdict::Dispatch) {
        Numbers.push_back(Decision.Request);
      }
    }
    return Numbers;
  }

  void addSamples(const std::string &Class, Duration Time, int Times) {
    for (int Count = 0; Count < Times; ++Count) {
      this->ServiceTimes.addSample(Class, Time);
    }
  }

  ServiceTimeEstimator ServiceTimes;
  AdmissionQueue Queue;
  TimePoint Now{milliseconds(1000)};
};

} // namespace

Test(AdmissionQueue, NeverExceedsCapacity) {
  QueueFixture Fixture(2, QueueOrder::Fifo);
  for (RequestNumber Number = 1; Number <= 5; ++Number) {
    Fixture.offer(Number, "get");
  }
  cr_assert_eq(Fixture.dispatched().size(), 2);
  Fixture.Queue.onFinished(1, milliseconds(5), false, Fixture.Now);
  auto Next = Fixture.dispatched();
  cr_assert_eq(Next.size(), 1);
  cr_assert_eq(Next[0], 3);
}

Test(AdmissionQueue, LongRequestsLeaveCapacityForShort) {
  QueueFixture Fixture(6, QueueOrder::Classed);
  Fixture.addSamples("short", milliseconds(10), 200);
  Fixture.addSamples("long", milliseconds(500), 4);

  for (RequestNumber Number = 1; Number <= 20; ++Number) {
    Fixture.offer(Number, "long");
  }
  std::size_t LongRunning = Fixture.dispatched().size();
  cr_assert_lt(LongRunning, 6);
  cr_assert_geq(LongRunning, 1);

  Fixture.offer(100, "short");
  auto Next = Fixture.dispatched();
  cr_assert_eq(Next.size(), 1);
  cr_assert_eq(Next[0], 100);
}

Test(AdmissionQueue, ShedsRequestsThatMissTheirDeadline) {
  QueueFixture Fixture(1, QueueOrder::Classed);
  Fixture.addSamples("get", milliseconds(50), 50);
  Fixture.offer(1, "get");
  cr_assert_eq(Fixture.dispatched().size(), 1);
  Fixture.offer(2, "get", "a", Fixture.Now + milliseconds(30));

  auto Decisions = Fixture.Queue.poll(Fixture.Now);
  cr_assert_eq(Decisions.size(), 1);
  cr_assert(Decisions[0].Verdict == AdmissionVerdict::Shed);
}

Test(AdmissionQueue, CallersAreServedRoundRobin) {
  QueueFixture Fixture(1, QueueOrder::Classed);
  Fixture.offer(1, "get", "first");
  Fixture.dispatched();
  for (RequestNumber Number = 2; Number <= 10; ++Number) {
    Fixture.offer(Number, "get", "heavy");
  }
  Fixture.offer(11, "get", "light");

  Fixture.Queue.onFinished(1, milliseconds(5), false, Fixture.Now);
  Fixture.dispatched();
  Fixture.Queue.onFinished(2, milliseconds(5), false, Fixture.Now);
  cr_assert_eq(Fixture.dispatched()[0], 11);
}

/// For random arrivals and completions, each request gets exactly one verdict
/// and never more run concurrently than the capacity.
Test(AdmissionQueue, OneVerdictPerRequest) {
  bool Holds = rc::check("one verdict per request", [] {
    auto Order = *rc::gen::element(QueueOrder::Fifo, QueueOrder::Classed);
    auto Capacity = *rc::gen::inRange<std::uint32_t>(1, 8);
    auto Steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8));
    QueueFixture Fixture(Capacity, Order);
    std::set<RequestNumber> Running;
    std::set<RequestNumber> Settled;
    RequestNumber Last = 0;

    auto Poll = [&] {
      for (const AdmissionDecision &Decision :
           Fixture.Queue.poll(Fixture.Now)) {
        RC_ASSERT(Settled.insert(Decision.Request).second);
        if (Decision.Verdict == AdmissionVerdict::Dispatch) {
          Running.insert(Decision.Request);
        }
      }
      RC_ASSERT(Running.size() <= Capacity);
    };

    for (int Step : Steps) {
      Fixture.Now += milliseconds(Step);
      if (Step < 5) {
        Fixture.offer(++Last, Step < 4 ? "short" : "long", std::to_string(Step),
                      Fixture.Now + milliseconds(40 * Step));
      } else if (!Running.empty()) {
        RequestNumber Ended = *Running.begin();
        Running.erase(Running.begin());
        Fixture.Queue.onFinished(Ended, milliseconds(Step), Step == 7,
                                 Fixture.Now);
      }
      Poll();
    }

    while (!Running.empty()) {
      RequestNumber Ended = *Running.begin();
      Running.erase(Running.begin());
      Fixture.Queue.onFinished(Ended, milliseconds(1), false, Fixture.Now);
      Poll();
    }
    RC_ASSERT(Settled.size() == Last);
  });
  cr_assert(Holds);
}
