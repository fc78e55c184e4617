#include "coordination/AdmissionQueue.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <set>

using namespace hemlockspar;
using std::chrono::milliseconds;

namespace {

/// A queue with what it depends on.
struct Bench {
  Bench(std::uint32_t Capacity, QueueOrder Order)
      : Queue({Capacity, 64}, Learned, makeDiscipline(Order, Learned)) {}

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

  void learn(const std::string &Class, Duration Time, int Times) {
    for (int Count = 0; Count < Times; ++Count) {
      this->Learned.addSample(Class, Time);
    }
  }

  ServiceTimeEstimator Learned;
  AdmissionQueue Queue;
  TimePoint Now{milliseconds(1000)};
};

} // namespace

Test(AdmissionQueue, NeverPassesCapacity) {
  Bench Box(2, QueueOrder::Fifo);
  for (RequestNumber Number = 1; Number <= 5; ++Number) {
    Box.offer(Number, "get");
  }
  cr_assert_eq(Box.dispatched().size(), 2);
  Box.Queue.onFinished(1, milliseconds(5), false, Box.Now);
  auto Next = Box.dispatched();
  cr_assert_eq(Next.size(), 1);
  cr_assert_eq(Next[0], 3);
}

Test(AdmissionQueue, LongRequestsLeaveRoom) {
  Bench Box(6, QueueOrder::Classed);
  Box.learn("short", milliseconds(10), 200);
  Box.learn("long", milliseconds(500), 4);

  for (RequestNumber Number = 1; Number <= 20; ++Number) {
    Box.offer(Number, "long");
  }
  std::size_t LongRunning = Box.dispatched().size();
  cr_assert_lt(LongRunning, 6);
  cr_assert_geq(LongRunning, 1);

  Box.offer(100, "short");
  auto Next = Box.dispatched();
  cr_assert_eq(Next.size(), 1);
  cr_assert_eq(Next[0], 100);
}

Test(AdmissionQueue, ShedsWhatCannotMeetItsDeadline) {
  Bench Box(1, QueueOrder::Classed);
  Box.learn("get", milliseconds(50), 50);
  Box.offer(1, "get");
  cr_assert_eq(Box.dispatched().size(), 1);
  Box.offer(2, "get", "a", Box.Now + milliseconds(30));

  auto Decisions = Box.Queue.poll(Box.Now);
  cr_assert_eq(Decisions.size(), 1);
  cr_assert(Decisions[0].Verdict == AdmissionVerdict::Shed);
}

Test(AdmissionQueue, CallersTakeTurns) {
  Bench Box(1, QueueOrder::Classed);
  Box.offer(1, "get", "first");
  Box.dispatched();
  for (RequestNumber Number = 2; Number <= 10; ++Number) {
    Box.offer(Number, "get", "greedy");
  }
  Box.offer(11, "get", "modest");

  Box.Queue.onFinished(1, milliseconds(5), false, Box.Now);
  Box.dispatched();
  Box.Queue.onFinished(2, milliseconds(5), false, Box.Now);
  cr_assert_eq(Box.dispatched()[0], 11);
}

/// Whatever comes and goes, each request gets exactly one verdict and no more
/// run at once than the capacity.
Test(AdmissionQueue, OneVerdictEach) {
  bool Holds = rc::check("one verdict each", [] {
    auto Order = *rc::gen::element(QueueOrder::Fifo, QueueOrder::Classed);
    auto Capacity = *rc::gen::inRange<std::uint32_t>(1, 8);
    auto Steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8));
    Bench Box(Capacity, Order);
    std::set<RequestNumber> Running;
    std::set<RequestNumber> Settled;
    RequestNumber Last = 0;

    auto Poll = [&] {
      for (const AdmissionDecision &Decision : Box.Queue.poll(Box.Now)) {
        RC_ASSERT(Settled.insert(Decision.Request).second);
        if (Decision.Verdict == AdmissionVerdict::Dispatch) {
          Running.insert(Decision.Request);
        }
      }
      RC_ASSERT(Running.size() <= Capacity);
    };

    for (int Step : Steps) {
      Box.Now += milliseconds(Step);
      if (Step < 5) {
        Box.offer(++Last, Step < 4 ? "short" : "long", std::to_string(Step),
                  Box.Now + milliseconds(40 * Step));
      } else if (!Running.empty()) {
        RequestNumber Ended = *Running.begin();
        Running.erase(Running.begin());
        Box.Queue.onFinished(Ended, milliseconds(Step), Step == 7, Box.Now);
      }
      Poll();
    }

    while (!Running.empty()) {
      RequestNumber Ended = *Running.begin();
      Running.erase(Running.begin());
      Box.Queue.onFinished(Ended, milliseconds(1), false, Box.Now);
      Poll();
    }
    RC_ASSERT(Settled.size() == Last);
  });
  cr_assert(Holds);
}
