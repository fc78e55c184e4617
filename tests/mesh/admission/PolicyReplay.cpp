#include "tests/mesh/admission/PolicyReplay.h"

namespace hemlockspar {

namespace {

constexpr std::uint32_t Slots = 6;
constexpr auto RetryPause = std::chrono::milliseconds(20);
constexpr int MaxAttempts = 4;

Duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

double toSeconds(Duration Span) {
  return std::chrono::duration<double>(Span).count();
}

} // namespace

PolicyReplay::Server::Server(const Policy &Tested)
    : Shares(Tested.Share),
      Queue({Slots, 64, false}, RouteTimes,
            Tested.Order ? std::unique_ptr<QueueDiscipline>(
                               std::make_unique<UrgencyDiscipline>(
                                   Times, Standing, Shares, Tested.Order()))
                         : std::make_unique<PriorityDiscipline>(RouteTimes)) {}

PolicyReplay::PolicyReplay(const Policy &Tested, const Pattern &Arrivals)
    : Tested(Tested), Arrivals(Arrivals), First(Tested), Second(Tested),
      Results(Arrivals.Kinds.size()) {
  for (std::size_t Kind = 0; Kind < Arrivals.Kinds.size(); ++Kind) {
    this->Random.emplace_back(20261206 + Kind);
  }
}

PolicyReplay::Request PolicyReplay::make(int Kind) {
  std::normal_distribution<double> Jitter(1.0, 0.3);
  Request Made;
  Made.Kind = Kind;
  Made.ArrivedAt = this->Now;
  Made.Length = std::max(Jitter(this->Random[Kind]), 0.2);
  return Made;
}

void PolicyReplay::at(TimePoint Time, std::function<void()> Action) {
  this->Events.push({Time, ++this->LastEvent, std::move(Action)});
}

double PolicyReplay::seconds() const {
  return toSeconds(this->Now - this->Begin);
}

std::vector<KindResult> PolicyReplay::run(double Seconds) {
  this->End = this->Begin + fromSeconds(Seconds);
  for (int Kind = 0; Kind < int(this->Arrivals.Kinds.size()); ++Kind) {
    this->scheduleArrival(Kind);
  }
  while (!this->Events.empty()) {
    Event Next = this->Events.top();
    this->Events.pop();
    this->Now = Next.At;
    Next.Action();
    this->poll(0);
    this->poll(1);
  }
  return this->Results;
}

void PolicyReplay::scheduleArrival(int Kind) {
  const struct Kind &Made = this->Arrivals.Kinds[Kind];
  if (Made.Share == 0) {
    return;
  }
  double Rate = this->Arrivals.Load(this->seconds()) * Made.Share * Slots /
                toSeconds(Made.Run);
  double Gap = std::exponential_distribution<double>(Rate)(this->Random[Kind]);
  TimePoint Next = this->Now + fromSeconds(Gap);
  if (Next >= this->End) {
    return;
  }
  Request New = this->make(Kind);
  New.ArrivedAt = Next;
  this->at(Next, [this, Kind, New] {
    this->offer(New);
    this->scheduleArrival(Kind);
  });
}

QueuedRequest PolicyReplay::queued(RequestNumber Number, const Request &New,
                                   const Server &At) const {
  const Kind &Made = this->Arrivals.Kinds[New.Kind];
  QueuedRequest Queued;
  Queued.Number = Number;
  Queued.Class = Made.Name;
  Queued.Rank = Made.Rank;
  Queued.ArrivedAt = New.ArrivedAt;
  Queued.Deadline = New.ArrivedAt + Made.Timeout;
  bool Fits = fitsObjective(Made.Objective, At.Times.of(Made.Name));
  Queued.DueAt = Fits ? New.ArrivedAt + Made.Objective : Queued.Deadline;
  return Queued;
}

bool PolicyReplay::isAdmitted(Server &At, const Request &New) {
  const Kind &Made = this->Arrivals.Kinds[New.Kind];
  std::size_t Before = At.Queue.countStartsBefore(Made.Rank);
  At.Standing.onArrival(Made.Rank, Before, Slots, this->Now);
  At.Shares.onArrival({Made.Rank, Made.Name}, this->Now);
  bool Standing = At.Standing.stands(Made.Rank, this->Now);
  Duration SenderMaxWait = Made.Timeout * 3 / 4;
  if (!this->Tested.Order) {
    Duration Wait =
        fromSeconds(static_cast<double>(Before) * At.MeanRun / Slots);
    return Wait <= maxQueueWait({SenderMaxWait, Made.Objective, Made.Timeout,
                                 At.RouteTimes.expected(Made.Name), Standing});
  }

  Duration MaxWait =
      maxRankedWait({SenderMaxWait, Made.Objective, Made.Timeout,
                     Made.Objective, At.Times.of(Made.Name), Standing});
  bool SlotFree = At.Queue.running() < Slots && At.Queue.waiting() == 0;
  Duration Work = *At.Queue.workAhead(this->queued(0, New, At), this->Now);
  return SlotFree || (Work + fromSeconds(At.MeanRun)) / Slots <= MaxWait;
}

void PolicyReplay::offer(const Request &New) {
  const Kind &Made = this->Arrivals.Kinds[New.Kind];
  Server &At = Made.Server == 0 ? this->First : this->Second;
  ++this->Results[New.Kind].Requests;
  if (!this->isAdmitted(At, New)) {
    this->refuse(New);
    return;
  }
  RequestNumber Number = ++this->Last;
  this->Requests[Number] = New;
  At.Queue.offer(this->queued(Number, New, At), this->Now);
}

void PolicyReplay::refuse(const Request &Refused) {
  KindResult &Result = this->Results[Refused.Kind];
  ++Result.Refused;
  Result.RefusalTime += this->Now - Refused.ArrivedAt;
  if (Refused.Parent != 0) {
    this->onCallEnded(Refused.Parent, true);
  } else if (this->Arrivals.Retries && Refused.Attempts + 1 < MaxAttempts) {
    Request Again = Refused;
    Again.Attempts = Refused.Attempts + 1;
    this->at(this->Now + RetryPause, [this, Again]() mutable {
      Again.ArrivedAt = this->Now;
      this->offer(Again);
    });
  }
}

void PolicyReplay::poll(int Index) {
  Server &At = Index == 0 ? this->First : this->Second;
  for (const AdmissionDecision &Decision : At.Queue.poll(this->Now)) {
    if (Decision.Verdict == AdmissionVerdict::Dispatch) {
      this->start(Decision.Request, Index);
      continue;
    }
    Request Shed = this->Requests[Decision.Request];
    this->Requests.erase(Decision.Request);
    this->refuse(Shed);
  }
}

void PolicyReplay::start(RequestNumber Number, int Index) {
  Request &Started = this->Requests[Number];
  const Kind &Made = this->Arrivals.Kinds[Started.Kind];
  KindResult &Result = this->Results[Started.Kind];
  double Slowness = Index == 0 ? this->Arrivals.Slowness(this->seconds()) : 1;
  Started.StartedAt = this->Now;
  Duration Run = fromSeconds(toSeconds(Made.Run) * Slowness * Started.Length);
  Result.MaxWait = std::max(Result.MaxWait, this->Now - Started.ArrivedAt);
  this->at(this->Now + Run, [this, Number] { this->end(Number); });
}

void PolicyReplay::end(RequestNumber Number) {
  int Calls = this->Arrivals.Kinds[this->Requests[Number].Kind].Calls;
  if (Calls < 0) {
    this->finish(Number);
    return;
  }
  this->Requests[Number].OpenCalls = 2;
  for (int Count = 0; Count < 2; ++Count) {
    Request Call = this->make(Calls);
    Call.Parent = Number;
    this->offer(Call);
  }
}

void PolicyReplay::onCallEnded(RequestNumber Parent, bool Failed) {
  Request &Waiting = this->Requests[Parent];
  Waiting.CallFailed = Waiting.CallFailed || Failed;
  if (--Waiting.OpenCalls == 0) {
    this->finish(Parent);
  }
}

void PolicyReplay::finish(RequestNumber Number) {
  Request Ended = this->Requests[Number];
  this->Requests.erase(Number);
  const Kind &Made = this->Arrivals.Kinds[Ended.Kind];
  KindResult &Result = this->Results[Ended.Kind];
  Server &At = Made.Server == 0 ? this->First : this->Second;
  Duration Occupied = this->Now - Ended.StartedAt;
  Duration Elapsed = this->Now - Ended.ArrivedAt;
  bool Failed = Ended.CallFailed || Elapsed > Made.Timeout;

  At.Queue.onFinished(Number, Occupied, false, this->Now);
  At.Times.record(Made.Name, Occupied);
  At.MeanRun += 0.05 * (toSeconds(Occupied) - At.MeanRun);
  Result.Failed += Failed ? 1 : 0;
  Result.WastedWork += Failed ? Occupied : Duration::zero();
  Result.InTime += !Failed && Elapsed <= Made.Objective ? 1 : 0;
  Result.Late += !Failed && Elapsed > Made.Objective ? 1 : 0;
  if (Ended.Parent != 0) {
    this->onCallEnded(Ended.Parent, Failed);
  }
}

} // namespace hemlockspar
