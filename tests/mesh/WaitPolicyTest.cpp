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
constexpr auto Patience = milliseconds(1500);

struct Served {
  int Asked = 0;
  int InTime = 0;
  int Late = 0;
  int TurnedAway = 0;

  /// Let in and not answered.
  int Lost = 0;
};

/// One backend server in simulated time under requests at \p Load times what
/// it can do, which wait as \p Bound allows.
class Overload {
public:
  Overload(double Load, std::function<Duration(const WaitTerms &)> Bound)
      : Queue({Slots, 64, false}, Learned,
              std::make_unique<PriorityDiscipline>(Learned)),
        Bound(std::move(Bound)) {
    double MeanGap = std::chrono::duration<double>(Run).count() / Slots / Load;
    this->Gap = std::exponential_distribution<double>(1.0 / MeanGap);
  }

  Served play(Duration Length) {
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
  using Ending = std::pair<TimePoint, RequestNumber>;

  void arrive() {
    ++this->Result.Asked;
    auto Wait = std::chrono::duration_cast<Duration>(
        Run * static_cast<double>(this->Queue.countStartsBefore(0)) / Slots);
    std::size_t Ahead = this->Queue.countStartsBefore(0);
    this->Standing.onArrival(0, Ahead, Slots, this->Now);
    if (Wait > this->Bound({Patience * 3 / 4, Objective, Patience, Run,
                            this->Standing.stands(0, this->Now)})) {
      ++this->Result.TurnedAway;
      return;
    }
    QueuedRequest Request;
    Request.Number = ++this->Last;
    Request.Class = "browse";
    Request.ArrivedAt = this->Now;
    Request.Deadline = this->Now + Patience;
    this->Arrived[Request.Number] = this->Now;
    this->Queue.offer(Request, this->Now);
  }

  void decide() {
    std::normal_distribution<double> Vary(1.0, 0.3);
    for (const AdmissionDecision &Told : this->Queue.poll(this->Now)) {
      if (Told.Verdict == AdmissionVerdict::Shed) {
        ++this->Result.Lost;
        continue;
      }
      auto Took = std::chrono::duration_cast<Duration>(
          Run * std::max(Vary(this->Random), 0.2));
      this->Runs.emplace(this->Now + Took, Told.Request);
    }
  }

  void finish() {
    RequestNumber Number = this->Runs.top().second;
    this->Runs.pop();
    this->Queue.onFinished(Number, Run, false, this->Now);
    Duration Took = this->Now - this->Arrived[Number];
    this->Result.InTime += Took <= Objective ? 1 : 0;
    this->Result.Late += Took > Objective && Took <= Patience ? 1 : 0;
    this->Result.Lost += Took > Patience ? 1 : 0;
  }

  ServiceTimeEstimator Learned;
  AdmissionQueue Queue;
  StandingQueue Standing;
  std::function<Duration(const WaitTerms &)> Bound;
  std::mt19937_64 Random{20261204};
  std::exponential_distribution<double> Gap;
  std::priority_queue<Ending, std::vector<Ending>, std::greater<>> Runs;
  std::map<RequestNumber, TimePoint> Arrived;
  RequestNumber Last = 0;
  TimePoint Now{seconds(1)};
  Served Result;
};

Duration byPatience(const WaitTerms &Terms) { return Terms.Allowed; }

} // namespace

/// A load of one and a half times what the backend server can do, for half a
/// minute. As many requests are answered as under a bound by the caller's
/// patience, and nearly all of them in time, where that bound made nearly all
/// of them late.
Test(WaitPolicy, LastingOverload) {
  Served Baseline = Overload(1.5, byPatience).play(seconds(30));
  Served Chosen = Overload(1.5, longestWait).play(seconds(30));

  int Capacity = 30 * 1000 * int(Slots) / int(Run.count());
  cr_assert_gt(Chosen.InTime, Capacity * 9 / 10, "in time: %d of %d",
               Chosen.InTime, Capacity);
  cr_assert_lt(Baseline.InTime, Capacity / 2, "in time: %d of %d",
               Baseline.InTime, Capacity);
  cr_assert_geq(Chosen.InTime + Chosen.Late,
                (Baseline.InTime + Baseline.Late) * 97 / 100);
  cr_assert_leq(Chosen.Lost, Baseline.Lost);
}

/// Below what the backend server can do nobody is turned away.
Test(WaitPolicy, OrdinaryLoad) {
  Served Chosen = Overload(0.7, longestWait).play(seconds(30));
  cr_assert_eq(Chosen.TurnedAway, 0);
  cr_assert_geq(Chosen.InTime, Chosen.Asked * 99 / 100);
}

/// A burst's queue is gone in a moment, so requests may wait longer in it than
/// in one that stands.
Test(WaitPolicy, BurstsAreWorkedOff) {
  WaitTerms Terms = {Patience * 3 / 4, Objective, Patience, Run, false};
  Duration Burst = longestWait(Terms);
  Terms.Standing = true;
  Duration Lasting = longestWait(Terms);
  cr_assert(Burst > Lasting);
  cr_assert(Burst + Run < Patience);

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

/// Whoever cannot meet the objective any more still waits a little.
Test(WaitPolicy, LateRequestsWaitLess) {
  Duration InTime = longestWait(
      {seconds(9), milliseconds(800), milliseconds(1500), Run, true});
  Duration Late = longestWait(
      {seconds(9), milliseconds(-100), milliseconds(1500), Run, true});
  cr_assert(Late > Duration::zero() && Late < InTime);
  cr_assert(longestWait({milliseconds(90), milliseconds(800),
                         milliseconds(1500), Run, true}) == milliseconds(90));
  cr_assert(longestWait({seconds(9), milliseconds(-500), milliseconds(100), Run,
                         true}) == Duration::zero());
}
