#include "mesh/Gate.h"

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
  Bounds.MaxIdleConnections = 64;
  Bounds.MaxIdleTime = std::chrono::seconds(8);
  return Bounds;
}

AdmissionLimits fixedLimits() {
  AdmissionLimits Limits;
  Limits.Adaptive = false;
  return Limits;
}

} // namespace

/// A request that waits for its turn.
struct Gate::Waiter {
  explicit Waiter(asio::io_context &Io) : Decided(Io) {}

  void decide(AdmissionVerdict Chosen) {
    this->Verdict = Chosen;
    this->Decided.set();
  }

  Event Decided;
  AdmissionVerdict Verdict = AdmissionVerdict::Shed;
};

Gate::Gate(asio::io_context &Io, LocalServer &Server, KeyAdmission &Keys,
           const RequestDialect &Dialect, MeshMetrics &Counters,
           std::function<void()> OnRefused)
    : Io(Io), Server(Server), Keys(Keys), Dialect(Dialect), Counters(Counters),
      OnRefused(std::move(OnRefused)), Client(Io, serverLimits()),
      Queue(fixedLimits(), Learned,
            std::make_unique<PriorityDiscipline>(Learned)),
      MeanSeconds(FirstMeanSeconds) {}

std::optional<TryResult> Gate::check(const TryTerms &Terms) const {
  TimePoint Now = BootClock::now();
  bool Here = this->Server.known() &&
              this->Server.report().Service == Terms.Service &&
              this->Server.state() != ServerState::Gone;
  if (!Here) {
    return tryNotRun(TryReason::ServerUnavailable);
  }
  if (!this->Server.takesRequests(Now)) {
    return tryNotRun(TryReason::Leaving);
  }
  if (Now >= Terms.GiveUpAt) {
    return tryNotRun(TryReason::TimeOver);
  }
  return std::nullopt;
}

bool Gate::awaitKey(const TryTerms &Terms, const asio::yield_context &Yield) {
  TimePoint Now = BootClock::now();
  TimePoint Until =
      Now + longestWait({KeyPatience, Terms.AimAt - Now, Terms.GiveUpAt - Now,
                         this->Learned.expected(Terms.RouteName), false});
  while (!this->Keys.canServe(*Terms.Key, BootClock::now())) {
    if (!this->Keys.isOwnedHere(*Terms.Key) || BootClock::now() >= Until) {
      return false;
    }
    sleepFor(this->Io, KeyPoll, Yield);
  }
  return true;
}

Duration Gate::expectedWait(std::uint32_t Rank) const {
  double Wait = static_cast<double>(this->Queue.countStartsBefore(Rank)) *
                this->MeanSeconds / this->Queue.limit();
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Wait));
}

TryResult Gate::serve(HttpRequest &Request, const TryTerms &Terms,
                      CallerWatch &Watch, const asio::yield_context &Yield) {
  if (auto Refusal = this->check(Terms)) {
    return std::move(*Refusal);
  }
  if (Terms.Key && !this->awaitKey(Terms, Yield)) {
    if (!this->Keys.isOwnedHere(*Terms.Key)) {
      return tryNotRun(TryReason::NotOwner);
    }
    return tryNotRun(
        TryReason::KeyMoving,
        std::max<Duration>(
            this->Keys.estimatedWait(*Terms.Key, BootClock::now()), KeyPoll));
  }

  this->Queue.setCapacity(
      std::max<std::uint32_t>(this->Server.report().Slots, 1));
  this->noteDemand(Terms, BootClock::now());
  Duration Wait = this->expectedWait(Terms.Rank);
  TimePoint Now = BootClock::now();
  this->Standing.onArrival(Terms.Rank,
                           this->Queue.countStartsBefore(Terms.Rank),
                           this->Queue.limit(), Now);
  Duration Longest =
      longestWait({Terms.MaxWait, Terms.AimAt - Now, Terms.GiveUpAt - Now,
                   this->Learned.expected(Terms.RouteName),
                   this->Standing.stands(Terms.Rank, Now)});
  if (Wait > Longest) {
    TryResult Refusal = tryNotRun(TryReason::Busy, Wait);
    Refusal.Load = this->load();
    return Refusal;
  }

  RequestNumber Number = ++this->LastNumber;
  if (!this->admit(Number, Terms, Watch, Yield)) {
    TryResult Refusal = tryNotRun(TryReason::Busy, this->expectedWait(0));
    Refusal.Load = this->load();
    return Refusal;
  }

  TimePoint DispatchedAt = BootClock::now();
  TryResult Result = this->dispatch(Request, Terms, Watch, Yield);
  Now = BootClock::now();
  Duration Held = Now - DispatchedAt;

  bool Overloaded = Result.Reason == TryReason::ServerRefused;
  this->noteBusy(Now);
  this->Queue.onFinished(Number, Held, Overloaded, Now);
  if (Result.Outcome == RequestOutcome::Answered) {
    Result.Run = Held;
    double Seconds = std::chrono::duration<double>(Held).count();
    this->MeanSeconds += MeanWeight * (Seconds - this->MeanSeconds);
    this->Counters.onServerRun(Held);
  }
  this->applyVerdicts();
  Result.Load = this->load();
  return Result;
}

bool Gate::admit(RequestNumber Number, const TryTerms &Terms,
                 CallerWatch &Watch, const asio::yield_context &Yield) {
  Waiter Turn(this->Io);
  this->Waiters[Number] = &Turn;
  this->noteBusy(BootClock::now());

  QueuedRequest Queued;
  Queued.Number = Number;
  Queued.Class = Terms.RouteName;
  Queued.Rank = Terms.Rank;
  Queued.ArrivedAt = BootClock::now();
  Queued.Deadline = Terms.GiveUpAt;
  this->Queue.offer(Queued, Queued.ArrivedAt);
  this->applyVerdicts();

  Watch.OnCancel = [this, Number, &Turn] {
    if (this->Queue.cancel(Number)) {
      Turn.decide(AdmissionVerdict::Shed);
    }
  };
  Turn.Decided.wait(Yield);
  Watch.OnCancel = nullptr;
  this->Waiters.erase(Number);
  return Turn.Verdict == AdmissionVerdict::Dispatch;
}

void Gate::applyVerdicts() {
  for (const AdmissionDecision &Decision : this->Queue.poll(BootClock::now())) {
    auto Place = this->Waiters.find(Decision.Request);
    HS_FAIL_COND(Place == this->Waiters.end());

    Place->second->decide(Decision.Verdict);
  }
}

void Gate::expireWaiting() { this->applyVerdicts(); }

TryResult Gate::dispatch(HttpRequest &Request, const TryTerms &Terms,
                         CallerWatch &Watch, const asio::yield_context &Yield) {
  // Much may have changed while the request waited.
  if (auto Refusal = this->check(Terms)) {
    return std::move(*Refusal);
  }
  TimePoint Now = BootClock::now();
  if (Terms.Key && !this->Keys.canServe(*Terms.Key, Now)) {
    return tryNotRun(TryReason::KeyMoving);
  }
  if (Watch.Disconnected) {
    return tryNotRun(TryReason::CallerGone);
  }

  this->Dialect.prepareForServer(Request, {Terms.GiveUpAt - Now,
                                           this->Server.report().Run.Id,
                                           Terms.CallerService});
  ExchangeOptions Bounds;
  Bounds.Deadline = Terms.GiveUpAt + LastWordSlack;
  Bounds.Watch = &Watch;
  Bounds.MatchesRequest = [this, &Terms](const HttpResponse &Response) {
    std::string Id = this->Dialect.readAnswer(Response).RequestId;
    return Id.empty() || Id == Terms.RequestId;
  };
  ExchangeResult Exchange =
      this->Client.exchange(this->Server.report().At, Request, Bounds, Yield);
  return this->judge(Exchange, Terms);
}

TryResult Gate::judge(ExchangeResult &Exchange, const TryTerms &Terms) {
  switch (Exchange.Outcome) {
  case ExchangeOutcome::NotSent:
    if (Exchange.ConnectionRefused) {
      this->OnRefused();
    }
    return tryNotRun(TryReason::ServerUnavailable);
  case ExchangeOutcome::TooLate:
    return tryNotRun(TryReason::TimeOver);
  case ExchangeOutcome::Ambiguous:
    return tryUnknown(BootClock::now() >= Terms.GiveUpAt ? TryReason::TimeOver
                                                         : TryReason::Broken);
  case ExchangeOutcome::Answered:
    break;
  }

  ServerAnswer Answer = this->Dialect.readAnswer(Exchange.Response);
  if (Answer.Verdict == ServerVerdict::Ran) {
    bool Own = Answer.Credible && Answer.RequestId == Terms.RequestId;
    if (!Own) {
      return tryUnknown(TryReason::WrongAnswer);
    }
    TryResult Result;
    Result.Outcome = RequestOutcome::Answered;
    Result.Reached = true;
    Result.Response = std::move(Exchange.Response);
    return Result;
  }

  TryResult Refusal = tryNotRun(Answer.Verdict == ServerVerdict::NotRun
                                    ? TryReason::ServerRefused
                                    : TryReason::NotOwner);
  Refusal.Reached = true;
  Refusal.Wait = this->expectedWait(Terms.Rank);
  return Refusal;
}

ServerLoad Gate::load() const {
  ServerLoad Load;
  Load.Running = static_cast<std::uint32_t>(this->Queue.running());
  Load.Waiting = static_cast<std::uint32_t>(this->Queue.waiting());
  Load.Slots = this->Queue.limit();
  Load.Wanted = this->demand(BootClock::now()) / this->Queue.limit();
  Load.Mean = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(this->MeanSeconds));
  return Load;
}

void Gate::noteBusy(TimePoint Now) {
  double Age = std::chrono::duration<double>(Now - this->BusyAt).count();
  double Fresh = 1.0 - std::exp(-std::max(Age, 0.0) / BusyFade);
  double Share =
      static_cast<double>(this->Queue.running() + this->Queue.waiting()) /
      this->Queue.limit();
  this->Busy += Fresh * (Share - this->Busy);
  this->BusyAt = Now;
}

void Gate::noteDemand(const TryTerms &Terms, TimePoint Now) {
  Duration Run = this->Learned.expected(Terms.RouteName);
  double Seconds = Run > Duration::zero()
                       ? std::chrono::duration<double>(Run).count()
                       : this->MeanSeconds;
  this->Demand = this->demand(Now) + Seconds / DemandFade;
  this->DemandAt = Now;
  if (Terms.Key) {
    this->Keys.recordLoad(*Terms.Key,
                          std::chrono::duration_cast<Duration>(
                              std::chrono::duration<double>(Seconds)),
                          Now);
  }
}

double Gate::demand(TimePoint Now) const {
  double Age = std::chrono::duration<double>(Now - this->DemandAt).count();
  return this->Demand * std::exp(-std::max(Age, 0.0) / DemandFade);
}

double Gate::wantedShare(TimePoint Now) {
  this->noteBusy(Now);
  double Wanted = this->demand(Now) / this->Queue.limit();
  return std::max(Wanted, std::min(this->Busy, 1.0));
}

} // namespace hemlockspar
