#include "mesh/BackendDispatcher.h"

#include "core/ErrorMacros.h"
#include "core/Log.h"
#include "net/Event.h"

#include <algorithm>
#include <boost/asio/detached.hpp>
#include <cmath>

namespace hemlockspar {

namespace asio = boost::asio;

namespace {

/// Initial mean run time, in seconds, until requests have been measured.
constexpr double InitialMeanRunSeconds = 0.2;

/// Smoothing weight of a new run time in the mean.
constexpr double MeanRunWeight = 0.05;

/// Time constant for smoothing the utilisation, in seconds.
constexpr double UtilisationDecaySeconds = 1.0;

/// Time constant for smoothing the offered load, in seconds: short enough to
/// detect a hot key within a second.
constexpr double OfferedLoadDecaySeconds = 1.0;
constexpr double RecentLoadDecaySeconds = 0.3;

/// A backend server reports when it stops at the deadline; its response is
/// awaited this much longer.
constexpr auto FinalResponseSlack = std::chrono::milliseconds(60);

/// Polling interval while the handover of a key to this instance is in
/// progress.
constexpr auto KeyPollInterval = std::chrono::milliseconds(20);

/// In an evacuated data centre requests for keys are still served for this long
/// while the keys are handed over: one report of the server and one write. Well
/// below the time within which operators expect the requests to end.
constexpr Duration EvacuationKeyGrace = std::chrono::milliseconds(1500);

/// Other daemons are told that a server is cold for this long at most: a report
/// tells the rest.
constexpr Duration MaxReportedCold = std::chrono::seconds(10);

/// Upper bound of the wait for a key, which is also limited like the wait for a
/// slot: a handover completes within 1.5 s unless something else fails.
constexpr auto MaxKeyWait = std::chrono::milliseconds(1500);

/// A server whose slots are in use answers its health path late.
constexpr auto ProbeTimeout = std::chrono::milliseconds(400);

HttpClient::Limits serverLimits(const MemoryBudgetPtr &Memory) {
  HttpClient::Limits Bounds;
  Bounds.Memory = Memory;
  Bounds.ConnectTimeout = std::chrono::milliseconds(500);
  Bounds.MaxIdleConnections = 64;
  Bounds.MaxIdleTime = std::chrono::seconds(8);
  return Bounds;
}

AdmissionLimits nonAdaptiveLimits() {
  AdmissionLimits Limits;
  Limits.Adaptive = false;
  return Limits;
}

} // namespace

/// A request that waits for a slot.
struct BackendDispatcher::Waiter {
  explicit Waiter(asio::io_context &Io) : Decided(Io) {}

  void decide(AdmissionVerdict NewVerdict) {
    this->Verdict = NewVerdict;
    this->Decided.set();
  }

  Event Decided;
  bool HasKey = false;
  std::uint32_t Rank = 0;

  /// Set when it is refused since the server has turned cold: the time until it
  /// would be its turn.
  std::optional<Duration> ColdWait;
  AdmissionVerdict Verdict = AdmissionVerdict::Shed;
};

BackendDispatcher::BackendDispatcher(asio::io_context &Io, const MeshView &View,
                                     LocalServer &Server, KeyAdmission &Keys,
                                     const RequestHeaderCodec &Codec,
                                     MeshMetrics &Counters,
                                     std::function<void()> OnConnectionRefused,
                                     const MemoryBudgetPtr &Memory)
    : Io(Io), View(View), Server(Server), Keys(Keys), HeaderCodec(Codec),
      Counters(Counters), OnConnectionRefused(std::move(OnConnectionRefused)),
      Client(Io, serverLimits(Memory)), HealthClient(Io, serverLimits(Memory)),
      Queue(nonAdaptiveLimits(), RouteTimes,
            std::make_unique<PriorityDiscipline>(RouteTimes)),
      Ranked(Queue, RouteTimes, Standing),
      MeanRunSeconds(InitialMeanRunSeconds) {}

std::optional<AttemptResult>
BackendDispatcher::checkServer(const AttemptContext &Context) const {
  TimePoint Now = BootClock::now();
  // Without a configuration nothing is known of what the server tolerates.
  bool Available = this->View.configuration() && this->Server.hasReport() &&
                   this->Server.lastReport().Service == Context.Service &&
                   this->Server.state() != ServerState::Gone;
  if (!Available) {
    return notRunResult(AttemptReason::ServerUnavailable);
  }
  if (!this->Server.acceptsRequests(Now) || this->isEvacuated(Context, Now)) {
    return notRunResult(AttemptReason::Leaving);
  }
  if (!this->Server.isHomeOf(Context.RouteName)) {
    return notRunResult(AttemptReason::NoHome);
  }
  if (Now >= Context.Deadline) {
    return notRunResult(AttemptReason::TimeOver);
  }
  return std::nullopt;
}

bool BackendDispatcher::isEvacuated(const AttemptContext &Context,
                                    TimePoint Now) const {
  Duration Grace = Context.Key ? EvacuationKeyGrace : Duration::zero();
  return this->EvacuatedSince && Now >= *this->EvacuatedSince + Grace;
}

void BackendDispatcher::onViewChanged() {
  if (this->Server.isEvacuated() == this->EvacuatedSince.has_value()) {
    return;
  }
  if (this->EvacuatedSince) {
    this->EvacuatedSince.reset();
    this->assumeCold();
    return;
  }

  // Servers may have turned cold just before.
  this->EvacuatedSince = BootClock::now();
  this->assumeCold();
  for (const auto &[Number, Waiting] : this->Waiters) {
    if (!Waiting->HasKey && this->Queue.cancel(Number)) {
      Waiting->decide(AdmissionVerdict::Shed);
    }
  }
}

bool BackendDispatcher::waitForKey(const AttemptContext &Context,
                                   const asio::yield_context &Yield) {
  TimePoint Now = BootClock::now();
  TimePoint Until =
      Now + maxQueueWait({MaxKeyWait, Context.ObjectiveAt - Now,
                          Context.Deadline - Now,
                          this->RouteTimes.expected(Context.RouteName), false});
  while (!this->Keys.canServe(*Context.Key, BootClock::now())) {
    if (!this->Keys.isOwnedHere(*Context.Key) ||
        this->Keys.isSuspended(*Context.Key) || BootClock::now() >= Until) {
      return false;
    }
    sleepFor(this->Io, KeyPollInterval, Yield);
  }
  return true;
}

Duration BackendDispatcher::expectedWait(std::uint32_t Rank) const {
  double Wait = static_cast<double>(this->Queue.countStartsBefore(Rank)) *
                this->MeanRunSeconds * this->Pace.factor(BootClock::now()) /
                this->Queue.limit();
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Wait));
}

Duration BackendDispatcher::maxWait(const AttemptContext &Context,
                                    TimePoint Now) const {
  return maxQueueWait({Context.MaxWait, Context.ObjectiveAt - Now,
                       Context.Deadline - Now,
                       this->RouteTimes.expected(Context.RouteName),
                       this->Standing.stands(Context.Rank, Now)});
}

AdmissionInputs
BackendDispatcher::admissionInputs(const AttemptContext &Context,
                                   TimePoint Now) const {
  if (this->Ranked.isActive()) {
    return this->Ranked.inputsOf(
        Context,
        std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(this->MeanRunSeconds)),
        this->Pace.factor(Now), Now);
  }
  AdmissionInputs Inputs;
  Inputs.ExpectedWait = this->expectedWait(Context.Rank);
  Inputs.MaxWait = this->maxWait(Context, Now);
  Inputs.Run.Mean = this->RouteTimes.expected(Context.RouteName);
  Inputs.Standing = this->Standing.stands(Context.Rank, Now);
  Inputs.Running = static_cast<std::uint32_t>(this->Queue.running());
  Inputs.Waiting = static_cast<std::uint32_t>(this->Queue.waiting());
  return Inputs;
}

bool BackendDispatcher::mayAdmit(const AttemptContext &Context,
                                 AttemptResult &Refusal) {
  if (auto Unavailable = this->checkServer(Context)) {
    Refusal = std::move(*Unavailable);
    return false;
  }
  TimePoint Now = BootClock::now();
  this->Ranked.configure(this->View.configuration(), Context.Service, Now);
  AdmissionInputs Inputs = this->admissionInputs(Context, Now);
  if (Inputs.ExpectedWait > Inputs.MaxWait) {
    this->Ranked.onArrival(Context, Now);
    Refusal = this->busy(Inputs, Context);
    return false;
  }
  this->updateColdStart(Context.Service);
  if (this->ColdStart.room(Now) == 0U) {
    Refusal = this->refusal(AttemptReason::Cold, this->ColdStart.untilNext(Now),
                            Context);
    return false;
  }
  return true;
}

AttemptResult BackendDispatcher::serve(HttpRequest &Request,
                                       const AttemptContext &Context,
                                       CallerWatch &Watch,
                                       const asio::yield_context &Yield) {
  if (auto Refusal = this->checkServer(Context)) {
    return std::move(*Refusal);
  }
  if (Context.Key && !this->waitForKey(Context, Yield)) {
    if (!this->Keys.isOwnedHere(*Context.Key)) {
      return notRunResult(AttemptReason::NotOwner);
    }
    return notRunResult(AttemptReason::KeyMoving,
                        std::max<Duration>(this->Keys.estimatedWait(
                                               *Context.Key, BootClock::now()),
                                           KeyPollInterval));
  }

  this->Queue.setCapacity(
      std::max<std::uint32_t>(this->Server.lastReport().Slots, 1));
  this->recordOfferedLoad(Context, BootClock::now());
  TimePoint Now = BootClock::now();
  this->Ranked.configure(this->View.configuration(), Context.Service, Now);
  this->Ranked.onArrival(Context, Now);
  this->Standing.onArrival(Context.Rank,
                           this->Queue.countStartsBefore(Context.Rank),
                           this->Queue.limit(), Now);
  AdmissionInputs Inputs = this->admissionInputs(Context, Now);
  if (Inputs.ExpectedWait > Inputs.MaxWait) {
    return this->busy(Inputs, Context);
  }
  this->updateColdStart(Context.Service);
  if (!this->ColdStart.tryReserve(Context.Rank, Now)) {
    return this->refusal(AttemptReason::Cold, this->ColdStart.untilNext(Now),
                         Context);
  }

  RequestNumber Number = ++this->LastNumber;
  Waiter Entry(this->Io);
  if (!this->admit(Number, Entry, Context, Watch, Yield)) {
    this->ColdStart.onDropped();
    if (Entry.ColdWait) {
      return this->refusal(AttemptReason::Cold, *Entry.ColdWait, Context);
    }
    Inputs = this->admissionInputs(Context, BootClock::now());
    if (!this->Ranked.isActive()) {
      Inputs.ExpectedWait = this->expectedWait(0);
    }
    return this->busy(Inputs, Context);
  }
  return this->serveAdmitted(Number, Request, Context, Watch, Yield);
}

AttemptResult BackendDispatcher::refusal(AttemptReason Reason, Duration Wait,
                                         const AttemptContext &Context) const {
  this->Counters.onRefusal(Reason, Context.Rank);
  AttemptResult Refusal = notRunResult(Reason, Wait);
  Refusal.Load = this->load();
  return Refusal;
}

AttemptResult BackendDispatcher::busy(const AdmissionInputs &Inputs,
                                      const AttemptContext &Context) const {
  AttemptResult Refusal =
      this->refusal(AttemptReason::Busy, Inputs.ExpectedWait, Context);
  Refusal.Admission = Inputs;
  return Refusal;
}

void BackendDispatcher::updateColdStart(const std::string &Service) {
  const ConfigurationPtr &Active = this->View.configuration();
  if (!Active) {
    return;
  }
  const ServiceDeclaration *Declared = Active->findService(Service);
  this->ColdStart.setTolerated(Declared ? Declared->ColdRequestsPerSecond : 0);
  TimePoint Now = BootClock::now();
  bool WasCold = this->ColdStart.coldLeft(Now) > Duration::zero();
  this->ColdStart.setColdUntil(this->Server.coldUntil());
  Duration ColdLeft = this->ColdStart.coldLeft(Now);
  if (WasCold != (ColdLeft > Duration::zero())) {
    LogLine(LogLevel::Info, "gate", WasCold ? "cold_ended" : "cold_begun")
        .with("cold_ms", toMilliseconds(ColdLeft))
        .with("tolerated", static_cast<long long>(this->ColdStart.tolerated()))
        .with("sent", static_cast<long long>(this->ColdStart.sentLately(Now)))
        .with("waiting", static_cast<long long>(this->Queue.waiting()));
  }
}

void BackendDispatcher::onServerChanged() {
  if (!this->Server.hasReport()) {
    return;
  }
  this->updateColdStart(this->Server.lastReport().Service);
  this->refuseExcessOfColdServer(BootClock::now());
}

void BackendDispatcher::refuseExcessOfColdServer(TimePoint Now) {
  auto Room = this->ColdStart.room(Now);
  if (!Room || this->Waiters.size() <= *Room) {
    return;
  }

  std::vector<std::pair<std::uint32_t, RequestNumber>> ByUrgency;
  for (const auto &[Number, Waiting] : this->Waiters) {
    ByUrgency.emplace_back(Waiting->Rank, Number);
  }
  std::ranges::sort(ByUrgency);
  Duration Wait = this->ColdStart.untilNext(Now);
  auto Interval = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1 / this->ColdStart.tolerated()));
  for (std::size_t Index = *Room; Index < ByUrgency.size(); ++Index) {
    RequestNumber Number = ByUrgency[Index].second;
    if (this->Queue.cancel(Number)) {
      Waiter &Refused = *this->Waiters.at(Number);
      Refused.ColdWait = Wait;
      Refused.decide(AdmissionVerdict::Shed);
      Wait += Interval;
    }
  }
}

void BackendDispatcher::assumeCold() {
  TimePoint Now = BootClock::now();
  this->Server.assumeCold(Now);
  this->onServerChanged();
  if (this->Probe.tryBegin(Now)) {
    this->probeServer();
  }
}

void BackendDispatcher::probeServer() {
  const ConfigurationPtr &Active = this->View.configuration();
  const ServiceDeclaration *Declared =
      Active ? Active->findService(this->Server.service()) : nullptr;
  bool Answers = Declared && Declared->ColdRequestsPerSecond > 0 &&
                 !Declared->HealthPath.empty();
  if (!Answers) {
    this->Probe.onEnded();
    return;
  }
  asio::spawn(
      this->Io,
      [this,
       HealthPath = Declared->HealthPath](const asio::yield_context &Yield) {
        TimePoint AskedAt = BootClock::now();
        HttpRequest Request(http::verb::get, HealthPath, 11);
        Request.set(http::field::host, "server");
        ExchangeOptions Bounds;
        Bounds.Deadline = AskedAt + ProbeTimeout;
        ExchangeResult Exchange = this->HealthClient.exchange(
            this->Server.lastReport().ServerAddress, Request, Bounds, Yield);
        this->Probe.onEnded();
        if (Exchange.Outcome != ExchangeOutcome::Answered) {
          return;
        }
        HealthAnswer Answer = this->HeaderCodec.readHealth(Exchange.Response);
        if (Answer.ColdLeft) {
          this->Server.onColdStated(Answer.ServerId, *Answer.ColdLeft, AskedAt,
                                    BootClock::now());
          this->onServerChanged();
        }
      },
      asio::detached);
}

void BackendDispatcher::logColdExcess(const AttemptContext &Context,
                                      TimePoint Now) const {
  TimePoint ColdUntil = this->Server.coldUntil();
  std::size_t Sent = this->ColdStart.sentLately(Now);
  bool Exceeds = ColdUntil > Now && this->ColdStart.tolerated() > 0 &&
                 static_cast<double>(Sent) > this->ColdStart.tolerated();
  if (Exceeds) {
    LogLine(LogLevel::Warning, "gate", "cold_limit_exceeded")
        .with("request", Context.RequestId)
        .with("sent", static_cast<long long>(Sent))
        .with("tolerated", static_cast<long long>(this->ColdStart.tolerated()))
        .with("cold_ms", toMilliseconds(ColdUntil - Now));
  }
}

AttemptResult BackendDispatcher::serveAdmitted(
    RequestNumber Number, HttpRequest &Request, const AttemptContext &Context,
    CallerWatch &Watch, const asio::yield_context &Yield) {
  TimePoint DispatchedAt = BootClock::now();
  double PaceBefore = this->Pace.factor(DispatchedAt);
  AttemptResult Result =
      this->dispatchWithinColdLimit(Request, Context, Watch, Yield);
  TimePoint Now = BootClock::now();

  // Learned without the slowness of the moment.
  double MeanPace = (PaceBefore + this->Pace.factor(Now)) / 2;
  auto RunTime =
      std::chrono::duration_cast<Duration>((Now - DispatchedAt) / MeanPace);

  // Refusals say nothing of the time that requests take.
  bool Overloaded = Result.Reason == AttemptReason::ServerRefused ||
                    Result.Reason == AttemptReason::Cold;
  this->updateUtilisation(Now);
  this->Queue.onFinished(Number, RunTime, Overloaded, Now);
  if (Result.Outcome == RequestOutcome::Answered) {
    Result.RunTime = RunTime;
    this->Ranked.recordRun(Context.RouteName, RunTime);
    double Seconds = std::chrono::duration<double>(RunTime).count();
    this->MeanRunSeconds += MeanRunWeight * (Seconds - this->MeanRunSeconds);
    this->Counters.recordServerRunTime(RunTime);
  }
  this->applyVerdicts();
  Result.Load = this->load();
  return Result;
}

bool BackendDispatcher::admit(RequestNumber Number, Waiter &Entry,
                              const AttemptContext &Context, CallerWatch &Watch,
                              const asio::yield_context &Yield) {
  Entry.HasKey = Context.Key.has_value();
  Entry.Rank = Context.Rank;
  this->Waiters[Number] = &Entry;
  this->updateUtilisation(BootClock::now());

  QueuedRequest Queued;
  Queued.Number = Number;
  Queued.Class = Context.RouteName;
  Queued.Rank = Context.Rank;
  Queued.ArrivedAt = BootClock::now();
  Queued.Deadline = Context.Deadline;
  Queued.DueAt = this->Ranked.dueAt(Context);
  this->Queue.offer(Queued, Queued.ArrivedAt);
  this->applyVerdicts();

  Watch.OnCancel = [this, Number, &Entry] {
    if (this->Queue.cancel(Number)) {
      Entry.decide(AdmissionVerdict::Shed);
    }
  };
  Entry.Decided.wait(Yield);
  Watch.OnCancel = nullptr;
  this->Waiters.erase(Number);
  return Entry.Verdict == AdmissionVerdict::Dispatch;
}

void BackendDispatcher::applyVerdicts() {
  for (const AdmissionDecision &Decision : this->Queue.poll(BootClock::now())) {
    auto Found = this->Waiters.find(Decision.Request);
    HS_FAIL_COND(Found == this->Waiters.end());

    Found->second->decide(Decision.Verdict);
  }
}

void BackendDispatcher::shedExpired() { this->applyVerdicts(); }

AttemptResult BackendDispatcher::dispatchWithinColdLimit(
    HttpRequest &Request, const AttemptContext &Context, CallerWatch &Watch,
    const asio::yield_context &Yield) {
  // The server may have turned cold while the request was queued.
  TimePoint Now = BootClock::now();
  this->updateColdStart(Context.Service);
  if (!this->ColdStart.trySend(Context.Rank, Now)) {
    return this->refusal(AttemptReason::Cold, this->ColdStart.untilNext(Now),
                         Context);
  }
  this->logColdExcess(Context, Now);
  bool Warm = !this->ColdStart.isActive(Now);
  if (Warm && this->Probe.onSent(this->ColdStart.tolerated(), Now)) {
    this->probeServer();
  }
  return this->dispatch(Request, Context, Watch, Yield);
}

AttemptResult BackendDispatcher::dispatch(HttpRequest &Request,
                                          const AttemptContext &Context,
                                          CallerWatch &Watch,
                                          const asio::yield_context &Yield) {
  // Repeat the checks, since the state may have changed while the request was
  // queued.
  if (auto Refusal = this->checkServer(Context)) {
    return std::move(*Refusal);
  }
  TimePoint Now = BootClock::now();
  if (Context.Key && !this->Keys.canServe(*Context.Key, Now)) {
    return notRunResult(AttemptReason::KeyMoving);
  }
  if (Watch.isGone()) {
    return notRunResult(AttemptReason::CallerGone);
  }

  this->HeaderCodec.setServerHeaders(Request,
                                     {Context.Deadline - Now,
                                      this->Server.lastReport().Incarnation.Id,
                                      Context.CallerService});
  ExchangeOptions Bounds;
  Bounds.Deadline = Context.Deadline + FinalResponseSlack;
  Bounds.Watch = &Watch;
  Bounds.RequestId = Context.RequestId;
  Bounds.RequestIdOf = [this](const HttpResponse &Response) {
    return this->HeaderCodec.readAnswer(Response).RequestId;
  };
  ExchangeResult Exchange = this->Client.exchange(
      this->Server.lastReport().ServerAddress, Request, Bounds, Yield);
  return this->classifyExchange(Exchange, Context);
}

AttemptResult
BackendDispatcher::classifyExchange(ExchangeResult &Exchange,
                                    const AttemptContext &Context) {
  switch (Exchange.Outcome) {
  case ExchangeOutcome::NotSent:
    if (Exchange.ConnectionRefused) {
      this->OnConnectionRefused();
    } else if (Exchange.ConnectionTimedOut) {
      // It may have been down, and return before its next report.
      this->assumeCold();
    }
    return notRunResult(AttemptReason::ServerUnavailable);
  case ExchangeOutcome::TooLate:
    return notRunResult(AttemptReason::TimeOver);
  case ExchangeOutcome::Ambiguous:
    return unknownResult(BootClock::now() >= Context.Deadline
                             ? AttemptReason::TimeOver
                             : AttemptReason::Broken);
  case ExchangeOutcome::Answered:
    break;
  }

  ServerAnswer Answer = this->HeaderCodec.readAnswer(Exchange.Response);
  if (Answer.Pace) {
    this->Pace.record(*Answer.Pace, BootClock::now());
  }
  if (Answer.Verdict == ServerVerdict::Ran) {
    bool Matches = Answer.Credible && Answer.RequestId == Context.RequestId;
    if (!Matches) {
      return unknownResult(AttemptReason::WrongAnswer);
    }
    AttemptResult Result;
    Result.Outcome = RequestOutcome::Answered;
    Result.ReachedServer = true;
    Result.Response = std::move(Exchange.Response);
    return Result;
  }

  if (Answer.Verdict == ServerVerdict::WrongServer && Context.Key) {
    this->Keys.onKeyRefused(*Context.Key, BootClock::now());
  }
  AttemptResult Refusal = notRunResult(Answer.Verdict == ServerVerdict::NotRun
                                           ? AttemptReason::ServerRefused
                                           : AttemptReason::NotOwner);
  Refusal.ReachedServer = true;
  Refusal.ExpectedWait = this->expectedWait(Context.Rank);
  return Refusal;
}

ServerLoad BackendDispatcher::load() const {
  TimePoint Now = BootClock::now();
  ServerLoad Load;
  Load.Pace = this->Pace.known(Now);
  Load.ColdLeft =
      std::min<Duration>(this->ColdStart.coldLeft(Now), MaxReportedCold);
  Load.ColdRequestsPerSecond =
      Load.ColdLeft > Duration::zero() ? this->ColdStart.tolerated() : 0;
  Load.Running = static_cast<std::uint32_t>(this->Queue.running());
  Load.Waiting = static_cast<std::uint32_t>(this->Queue.waiting());
  Load.Slots = this->Queue.limit();
  Load.OfferedLoad = this->offeredSlots(Now) / this->Queue.limit();
  Load.MeanRunTime = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(this->MeanRunSeconds));
  return Load;
}

void BackendDispatcher::updateUtilisation(TimePoint Now) {
  double Age = std::chrono::duration<double>(Now - this->UtilisationAt).count();
  double Weight = 1.0 - std::exp(-std::max(Age, 0.0) / UtilisationDecaySeconds);
  double Share =
      static_cast<double>(this->Queue.running() + this->Queue.waiting()) /
      this->Queue.limit();
  this->Utilisation += Weight * (Share - this->Utilisation);
  this->UtilisationAt = Now;
}

void BackendDispatcher::recordOfferedLoad(const AttemptContext &Context,
                                          TimePoint Now) {
  Duration Run = this->RouteTimes.expected(Context.RouteName);
  double Seconds = Run > Duration::zero()
                       ? std::chrono::duration<double>(Run).count()
                       : this->MeanRunSeconds;
  this->OfferedSlots =
      this->offeredSlots(Now) + Seconds / OfferedLoadDecaySeconds;
  this->RecentOfferedSlots =
      this->recentOfferedSlots(Now) + Seconds / RecentLoadDecaySeconds;
  this->OfferedSlotsAt = Now;
  if (Context.Key) {
    this->Keys.recordLoad(*Context.Key,
                          std::chrono::duration_cast<Duration>(
                              std::chrono::duration<double>(Seconds)),
                          Now);
  }
}

double BackendDispatcher::offeredSlots(TimePoint Now) const {
  double Age =
      std::chrono::duration<double>(Now - this->OfferedSlotsAt).count();
  return this->OfferedSlots *
         std::exp(-std::max(Age, 0.0) / OfferedLoadDecaySeconds);
}

double BackendDispatcher::recentOfferedSlots(TimePoint Now) const {
  double Age =
      std::chrono::duration<double>(Now - this->OfferedSlotsAt).count();
  return this->RecentOfferedSlots *
         std::exp(-std::max(Age, 0.0) / RecentLoadDecaySeconds);
}

double BackendDispatcher::recentOfferedLoad(TimePoint Now) const {
  return this->recentOfferedSlots(Now) / this->Queue.limit();
}

double BackendDispatcher::offeredLoad(TimePoint Now) {
  this->updateUtilisation(Now);
  double Offered = this->offeredSlots(Now) / this->Queue.limit();
  return std::max(Offered, std::min(this->Utilisation, 1.0));
}

} // namespace hemlockspar
