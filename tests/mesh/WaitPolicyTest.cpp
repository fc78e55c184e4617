#include "mesh/WaitPolicy.h"

#include "coordination/AdmissionQueue.h"

#include <criterion/criterion.h>
#include <queue>
#include <random>

using namespace hemlockspar;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t Slots = 6;
constexpr auto Run = milliseconds(250);
constexpr auto Objective = milliseconds(800);
constexpr auto CallerTimeout = milliseconds(1500);

struct Outcome {
  int Requests = 0;
  int InTime = 0;
  int Late = 0;
  int Refused = 0;

  /// Admitted, but not answered in time.
  int Lost = 0;
};

/// Simulates one backend server under an offered load of \p Load times its
/// capacity; \p Bound limits the queue wait.
class ServerSimulation {
public:
  ServerSimulation(double Load,
                   std::function<Duration(const WaitBounds &)> Bound)
      : Queue({Slots, 64, false}, RouteTimes,
              std::make_unique<PriorityDiscipline>(RouteTimes)),
        Bound(std::move(Bound)) {
    double MeanGap = std::chrono::duration<double>(Run).count() / Slots / Load;
    this->Gap = std::exponential_distribution<double>(1.0 / MeanGap);
  }

  Outcome simulate(Duration Length) {
    TimePoint Arrival = this->Now;
    TimePoint End = this->Now + Length;
    while (this->Now < End) {
      bool Ends = !this->Runs.empty() && this->Runs.top().first <= Arrival;
      this->Now = Ends ? this->Runs.top().first : Arrival;
      if (Ends) {
        this->finish();
      } else {
        this->arrive();
        Arrival += std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(this->Gap(this->Random)));
      }
      this->decide();
    }
    return this->Result;
  }

private:
  using Completion = std::pair<TimePoint, RequestNumber>;

  void arrive() {
    ++this->Result.Requests;
    auto Wait = std::chrono::duration_cast<Duration>(
        Run * static_cast<double>(this->Queue.countStartsBefore(0)) / Slots);
    std::size_t Ahead = this->Queue.countStartsBefore(0);
    this->Standing.onArrival(0, Ahead, Slots, this->Now);
    if (Wait > this->Bound({CallerTimeout * 3 / 4, Objective, CallerTimeout,
                            Run, this->Standing.stands(0, this->Now)})) {
      ++this->Result.Refused;
      return;
    }
    QueuedRequest Request;
    Request.Number = ++this->Last;
    Request.Class = "browse";
    Request.ArrivedAt = this->Now;
    Request.Deadline = this->Now + CallerTimeout;
    this->Arrived[Request.Number] = this->Now;
    this->Queue.offer(Request, this->Now);
  }

  void decide() {
    std::normal_distribution<double> Jitter(1.0, 0.3);
    for (const AdmissionDecision &Decision : this->Queue.poll(this->Now)) {
      if (Decision.Verdict == AdmissionVerdict::Shed) {
        ++this->Result.Lost;
        continue;
      }
      auto Elapsed = std::chrono::duration_cast<Duration>(
          Run * std::max(Jitter(this->Random), 0.2));
      this->Runs.emplace(this->Now + Elapsed, Decision.Request);
    }
  }

  void finish() {
    RequestNumber Number = this->Runs.top().second;
    this->Runs.pop();
    this->Queue.onFinished(Number, Run, false, this->Now);
    Duration Elapsed = this->Now - this->Arrived[Number];
    this->Result.InTime += Elapsed <= Objective ? 1 : 0;
    this->Result.Late +=
        Elapsed > Objective && Elapsed <= CallerTimeout ? 1 : 0;
    this->Result.Lost += Elapsed > CallerTimeout ? 1 : 0;
  }

  ServiceTimeEstimator RouteTimes;
  AdmissionQueue Queue;
  StandingQueue Standing;
  std::function<Duration(const WaitBounds &)> Bound;
  std::mt19937_64 Random{20261204};
  std::exponential_distribution<double> Gap;
  std::priority_queue<Completion, std::vector<Completion>, std::greater<>> Runs;
  std::map<RequestNumber, TimePoint> Arrived;
  RequestNumber Last = 0;
  TimePoint Now{seconds(1)};
  Outcome Result;
};

Duration boundByTimeout(const WaitBounds &Bounds) {
  return Bounds.SenderMaxWait;
}

} // namespace

/// Offers 1.5 times the capacity for 30 s. A bound by the caller's timeout
/// makes nearly all responses late; the bound by the objective must answer as
/// many requests and nearly all of them in time.
Test(WaitPolicy, LastingOverload) {
  Outcome Baseline =
      ServerSimulation(1.5, boundByTimeout).simulate(seconds(30));
  Outcome Actual = ServerSimulation(1.5, maxQueueWait).simulate(seconds(30));

  int Capacity = 30 * 1000 * int(Slots) / int(Run.count());
  cr_assert_gt(Actual.InTime, Capacity * 9 / 10, "in time: %d of %d",
               Actual.InTime, Capacity);
  cr_assert_lt(Baseline.InTime, Capacity / 2, "in time: %d of %d",
               Baseline.InTime, Capacity);
  cr_assert_geq(Actual.InTime + Actual.Late,
                (Baseline.InTime + Baseline.Late) * 97 / 100);
  cr_assert_leq(Actual.Lost, Baseline.Lost);
}

/// No request is refused below the capacity of the backend server.
Test(WaitPolicy, OrdinaryLoad) {
  Outcome Actual = ServerSimulation(0.7, maxQueueWait).simulate(seconds(30));
  cr_assert_eq(Actual.Refused, 0);
  cr_assert_geq(Actual.InTime, Actual.Requests * 99 / 100);
}

/// Requests may wait longer in a queue left by a burst, which drains quickly,
/// than in a standing queue.
Test(WaitPolicy, BurstQueuesAllowLongerWaits) {
  WaitBounds Bounds = {CallerTimeout * 3 / 4, Objective, CallerTimeout, Run,
                       false};
  Duration Burst = maxQueueWait(Bounds);
  Bounds.QueueStanding = true;
  Duration Lasting = maxQueueWait(Bounds);
  cr_assert(Burst > Lasting);
  cr_assert(Burst + Run < CallerTimeout);

  StandingQueue Queue;
  TimePoint Now{seconds(5)};
  Queue.onArrival(1, 0, Slots, Now);
  Queue.onArrival(1, 30, Slots, Now + milliseconds(10));
  cr_assert_not(Queue.stands(1, Now + milliseconds(700)));
  Queue.onArrival(1, 12, Slots, Now + milliseconds(900));
  cr_assert(Queue.stands(1, Now + milliseconds(900)));
  cr_assert_not(Queue.stands(0, Now + milliseconds(900)), "another rank");
  Queue.onArrival(1, 2, Slots, Now + milliseconds(1000));
  cr_assert_not(Queue.stands(1, Now + milliseconds(1000)));
}

/// Requests that can no longer meet the objective still wait, but for a shorter
/// time.
Test(WaitPolicy, LateRequestsWaitLess) {
  Duration InTime = maxQueueWait(
      {seconds(9), milliseconds(800), milliseconds(1500), Run, true});
  Duration Late = maxQueueWait(
      {seconds(9), milliseconds(-100), milliseconds(1500), Run, true});
  cr_assert(Late > Duration::zero() && Late < InTime);
  cr_assert(maxQueueWait({milliseconds(90), milliseconds(800),
                          milliseconds(1500), Run, true}) == milliseconds(90));
  cr_assert(maxQueueWait({seconds(9), milliseconds(-500), milliseconds(100),
                          Run, true}) == Duration::zero());
}
