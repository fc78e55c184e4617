#include "mesh/BackendDispatcher.h"

#include "core/ErrorMacros.h"
#include "net/Event.h"

#include <algorithm>
#include <cmath>

namespace hemlockspar {

namespace asio = boost::asio;

namespace {

/// Assumed for the time of a request until some have been measured.
constexpr double FirstMeanSeconds = 0.2;

/// Weight of a new measurement in the mean.
constexpr double MeanWeight = 0.05;

/// The busy share fades with this time constant, in seconds.
constexpr double BusyFade = 1.0;

/// The demand fades with this time constant, in seconds: short enough to see
/// within a second that a key has become hot.
constexpr double DemandFade = 1.0;

/// A backend server stops at its deadline and says so; its word is awaited
/// this much longer.
constexpr auto LastWordSlack = std::chrono::milliseconds(60);

/// While a key is on its way here, it is looked for this often.
constexpr auto KeyPoll = std::chrono::milliseconds(20);

/// A request waits here for its key at most this long, and no longer than it
/// might for a slot: a move takes less than a second and a half when nothing
/// else goes wrong.
constexpr auto KeyPatience = std::chrono::milliseconds(1500);

HttpClient::Limits serverLimits() {
  HttpClient::Limits Bounds;
  Bounds.ConnectTimeout = std::chrono::milliseconds(500);
  Bounds.IdleConnections = 64;
  Bounds.MaxIdle = std::chrono::seconds(8);
  return Bounds;
}

AdmissionLimits fixedLimits() {
  AdmissionLimits Limits;
  Limits.Adaptive = false;
  return Limits;
}

} // namespace

/// A request that waits for its turn.
struct BackendDispatcher::Waiter {
  explicit Waiter(asio::io_context &Io) : Decided(Io) {}

  void decide(AdmissionVerdict Chosen) {
    this->Verdict = Chosen;
    this->Decided.set();
  }

  Event Decided;
  AdmissionVerdict Verdict = AdmissionVerdict::Shed;
};

BackendDispatcher::BackendDispatcher(asio::io_context &Io, LocalServer &Server,
                                     KeyAccess &Keys,
                                     const RequestHeaderCodec &Dialect,
                                     MeshMetrics &Counters,
                                     std::function<void()> OnRefused)
    : Io(Io), Server(Server), Keys(Keys), HeaderCodec(Dialect),
      Counters(Counters), OnConnectionRefused(std::move(OnRefused)),
      Client(Io, serverLimits()),
      Queue(fixedLimits(), RouteTimes,
            std::make_unique<UrgencyDiscipline>(RouteTimes)),
      MeanRunSeconds(FirstMeanSeconds) {}

std::optional<AttemptResult>
BackendDispatcher::checkServer(const AttemptContext &Terms) const {
  TimePoint Now = BootClock::now();
  bool Here = this->Server.hasReport() &&
              this->Server.lastReport().Service == Terms.Service &&
              this->Server.state() != ServerState::Gone;
  if (!Here) {
    return notRunResult(AttemptReason::ServerUnavailable);
  }
  if (!this->Server.acceptsRequests(Now)) {
    return notRunResult(AttemptReason::Leaving);
  }
  if (Now >= Terms.Deadline) {
    return notRunResult(AttemptReason::TimeOver);
  }
  return std::nullopt;
}

bool BackendDispatcher::waitForKey(const AttemptContext &Terms,
                                   const asio::yield_context &Yield) {
  TimePoint Now = BootClock::now();
  TimePoint Until =
      Now +
      maxQueueWait({KeyPatience, Terms.ObjectiveAt - Now, Terms.Deadline - Now,
                    this->RouteTimes.expected(Terms.RouteName), false});
  while (!this->Keys.serves(*Terms.Key, BootClock::now())) {
    if (!this->Keys.expects(*Terms.Key) || BootClock::now() >= Until) {
      return false;
    }
    sleepFor(this->Io, KeyPoll, Yield);
  }
  return true;
}

Duration BackendDispatcher::expectedWait(std::uint32_t Rank) const {
  double Wait = static_cast<double>(this->Queue.mustStartFirst(Rank)) *
                this->MeanRunSeconds / this->Queue.limit();
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Wait));
}

AttemptResult BackendDispatcher::serve(HttpRequest &Request,
                                       const AttemptContext &Terms,
                                       CallerWatch &Watch,
                                       const asio::yield_context &Yield) {
  if (auto Refusal = this->checkServer(Terms)) {
    return std::move(*Refusal);
  }
  if (Terms.Key && !this->waitForKey(Terms, Yield)) {
    if (!this->Keys.expects(*Terms.Key)) {
      return notRunResult(AttemptReason::NotOwner);
    }
    return notRunResult(
        AttemptReason::KeyMoving,
        std::max<Duration>(this->Keys.expectedIn(*Terms.Key, BootClock::now()),
                           KeyPoll));
  }

  this->Queue.setCapacity(
      std::max<std::uint32_t>(this->Server.lastReport().Slots, 1));
  this->recordOfferedLoad(Terms, BootClock::now());
  Duration Wait = this->expectedWait(Terms.Rank);
  TimePoint Now = BootClock::now();
  this->Standing.onArrival(Terms.Rank, this->Queue.mustStartFirst(Terms.Rank),
                           this->Queue.limit(), Now);
  Duration Longest = maxQueueWait({Terms.MaxWait, Terms.ObjectiveAt - Now,
                                   Terms.Deadline - Now,
                                   this->RouteTimes.expected(Terms.RouteName),
                                   this->Standing.stands(Terms.Rank, Now)});
  if (Wait > Longest) {
    AttemptResult Refusal = notRunResult(AttemptReason::Busy, Wait);
    Refusal.Load = this->load();
    return Refusal;
  }

  RequestNumber Number = ++this->LastNumber;
  if (!this->admit(Number, Terms, Watch, Yield)) {
    AttemptResult Refusal =
        notRunResult(AttemptReason::Busy, this->expectedWait(0));
    Refusal.Load = this->load();
    return Refusal;
  }

  TimePoint DispatchedAt = BootClock::now();
  AttemptResult Result = this->dispatch(Request, Terms, Watch, Yield);
  Now = BootClock::now();
  Duration Held = Now - DispatchedAt;

  bool Overloaded = Result.Reason == AttemptReason::ServerRefused;
  this->updateUtilisation(Now);
  this->Queue.onFinished(Number, Held, Overloaded, Now);
  if (Result.Outcome == RequestOutcome::Answered) {
    Result.RunTime = Held;
    double Seconds = std::chrono::duration<double>(Held).count();
    this->MeanRunSeconds += MeanWeight * (Seconds - this->MeanRunSeconds);
    this->Counters.recordServerRunTime(Held);
  }
  this->applyVerdicts();
  Result.Load = this->load();
  return Result;
}

bool BackendDispatcher::admit(RequestNumber Number, const AttemptContext &Terms,
                              CallerWatch &Watch,
                              const asio::yield_context &Yield) {
  Waiter Turn(this->Io);
  this->Waiters[Number] = &Turn;
  this->updateUtilisation(BootClock::now());

  QueuedRequest Queued;
  Queued.Number = Number;
  Queued.Class = Terms.RouteName;
  Queued.Rank = Terms.Rank;
  Queued.ArrivedAt = BootClock::now();
  Queued.Deadline = Terms.Deadline;
  this->Queue.offer(Queued, Queued.ArrivedAt);
  this->applyVerdicts();

  Watch.OnGone = [this, Number, &Turn] {
    if (this->Queue.cancel(Number)) {
      Turn.decide(AdmissionVerdict::Shed);
    }
  };
  Turn.Decided.wait(Yield);
  Watch.OnGone = nullptr;
  this->Waiters.erase(Number);
  return Turn.Verdict == AdmissionVerdict::Dispatch;
}

void BackendDispatcher::applyVerdicts() {
  for (const AdmissionDecision &Decision : this->Queue.poll(BootClock::now())) {
    auto Place = this->Waiters.find(Decision.Request);
    HS_FAIL_COND(Place == this->Waiters.end());

    Place->second->decide(Decision.Verdict);
  }
}

void BackendDispatcher::shedExpired() { this->applyVerdicts(); }

AttemptResult BackendDispatcher::dispatch(HttpRequest &Request,
                                          const AttemptContext &Terms,
                                          CallerWatch &Watch,
                                          const asio::yield_context &Yield) {
  // Much may have changed while the request waited.
  if (auto Refusal = this->checkServer(Terms)) {
    return std::move(*Refusal);
  }
  TimePoint Now = BootClock::now();
  if (Terms.Key && !this->Keys.serves(*Terms.Key, Now)) {
    return notRunResult(AttemptReason::KeyMoving);
  }
  if (Watch.Gone) {
    return notRunResult(AttemptReason::CallerGone);
  }

  this->HeaderCodec.setServerHeaders(
      Request, {Terms.Deadline - Now, this->Server.lastReport().Incarnation.Id,
                Terms.CallerService});
  ExchangeTerms Bounds;
  Bounds.Deadline = Terms.Deadline + LastWordSlack;
  Bounds.Watch = &Watch;
  Bounds.Belongs = [this, &Terms](const HttpResponse &Response) {
    std::string Id = this->HeaderCodec.readAnswer(Response).RequestId;
    return Id.empty() || Id == Terms.RequestId;
  };
  ExchangeResult Exchange = this->Client.exchange(
      this->Server.lastReport().ServerAddress, Request, Bounds, Yield);
  return this->classifyExchange(Exchange, Terms);
}

AttemptResult BackendDispatcher::classifyExchange(ExchangeResult &Exchange,
                                                  const AttemptContext &Terms) {
  switch (Exchange.Outcome) {
  case ExchangeOutcome::NotSent:
    if (Exchange.Refused) {
      this->OnConnectionRefused();
    }
    return notRunResult(AttemptReason::ServerUnavailable);
  case ExchangeOutcome::TooLate:
    return notRunResult(AttemptReason::TimeOver);
  case ExchangeOutcome::Ambiguous:
    return unknownResult(BootClock::now() >= Terms.Deadline
                             ? AttemptReason::TimeOver
                             : AttemptReason::Broken);
  case ExchangeOutcome::Answered:
    break;
  }

  ServerAnswer Answer = this->HeaderCodec.readAnswer(Exchange.Response);
  if (Answer.Verdict == ServerVerdict::Ran) {
    bool Own = Answer.Credible && Answer.RequestId == Terms.RequestId;
    if (!Own) {
      return unknownResult(AttemptReason::WrongAnswer);
    }
    AttemptResult Result;
    Result.Outcome = RequestOutcome::Answered;
    Result.ReachedServer = true;
    Result.Response = std::move(Exchange.Response);
    return Result;
  }

  AttemptResult Refusal = notRunResult(Answer.Verdict == ServerVerdict::NotRun
                                           ? AttemptReason::ServerRefused
                                           : AttemptReason::NotOwner);
  Refusal.ReachedServer = true;
  Refusal.ExpectedWait = this->expectedWait(Terms.Rank);
  return Refusal;
}

ServerLoad BackendDispatcher::load() const {
  ServerLoad Load;
  Load.Running = static_cast<std::uint32_t>(this->Queue.running());
  Load.Waiting = static_cast<std::uint32_t>(this->Queue.waiting());
  Load.Slots = this->Queue.limit();
  Load.OfferedLoad = this->offeredSlots(BootClock::now()) / this->Queue.limit();
  Load.MeanRunTime = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(this->MeanRunSeconds));
  return Load;
}

void BackendDispatcher::updateUtilisation(TimePoint Now) {
  double Age = std::chrono::duration<double>(Now - this->UtilisationAt).count();
  double Fresh = 1.0 - std::exp(-std::max(Age, 0.0) / BusyFade);
  double Share =
      static_cast<double>(this->Queue.running() + this->Queue.waiting()) /
      this->Queue.limit();
  this->Utilisation += Fresh * (Share - this->Utilisation);
  this->UtilisationAt = Now;
}

void BackendDispatcher::recordOfferedLoad(const AttemptContext &Terms,
                                          TimePoint Now) {
  Duration Run = this->RouteTimes.expected(Terms.RouteName);
  double Seconds = Run > Duration::zero()
                       ? std::chrono::duration<double>(Run).count()
                       : this->MeanRunSeconds;
  this->OfferedSlots = this->offeredSlots(Now) + Seconds / DemandFade;
  this->OfferedSlotsAt = Now;
  if (Terms.Key) {
    this->Keys.recordLoad(*Terms.Key,
                          std::chrono::duration_cast<Duration>(
                              std::chrono::duration<double>(Seconds)),
                          Now);
  }
}

double BackendDispatcher::offeredSlots(TimePoint Now) const {
  double Age =
      std::chrono::duration<double>(Now - this->OfferedSlotsAt).count();
  return this->OfferedSlots * std::exp(-std::max(Age, 0.0) / DemandFade);
}

double BackendDispatcher::offeredLoad(TimePoint Now) {
  this->updateUtilisation(Now);
  double Wanted = this->offeredSlots(Now) / this->Queue.limit();
  return std::max(Wanted, std::min(this->Utilisation, 1.0));
}

} // namespace hemlockspar
