#include "mesh/RequestRouter.h"

#include "core/Log.h"
#include "daemon/RequestHeaders.h"
#include "mesh/DescriptorShares.h"
#include "mesh/HopCodec.h"
#include "mesh/admission/ServiceRanks.h"
#include "mesh/placement/HomePolicy.h"
#include "net/Event.h"

#include <algorithm>

namespace hemlockspar {

namespace asio = boost::asio;

namespace {

/// Timeout of requests that state none: the longest that a caller plausibly
/// waits. The route's timeout applies where it is shorter.
constexpr auto DefaultTimeout = std::chrono::seconds(30);

/// A peer's response that a request did not run is awaited this long past the
/// deadline, to allow for the inter-region round trip.
constexpr auto FinalResponseSlack = std::chrono::milliseconds(90);

/// Pause between two attempts to find an instance for a request.
constexpr auto SearchInterval = std::chrono::milliseconds(40);

/// Fraction of its time for which a request waits for an owner of its key or
/// for an instance; it is then refused, so that the caller can retry.
constexpr double SearchShare = 0.5;

/// Owner hints kept per service until its key map is read again.
constexpr std::size_t MaxOwnerHints = 32;

/// An attempt with less time left than this cannot succeed.
constexpr auto MinAttemptTime = std::chrono::milliseconds(20);

/// Refusals by instances after which a request fails.
constexpr std::size_t MaxRefusals = 4;

/// Fraction of the time to the latency objective that a large body may wait for
/// the link of an instance, before another instance is tried.
constexpr double LinkWaitShare = 0.3;

/// Bytes per second of a rate of 1 Mbit/s.
constexpr double BytesPerMbit = 1e6 / 8;

/// Minimum Retry-After, randomised by up to the same amount again, so that
/// callers do not all return at once.
constexpr auto MinRetryAfter = std::chrono::milliseconds(150);

/// Retry-After when no instance may serve a request: keys are handed over or an
/// instance becomes ready in about this time.
constexpr auto NoHomeRetryAfter = std::chrono::milliseconds(800);

/// Approximate time for a terminated process to be restarted.
constexpr auto RestartTime = std::chrono::milliseconds(600);

HttpClient::Limits peerLimits(const MeshSettings &Config,
                              const MemoryBudgetPtr &Memory) {
  HttpClient::Limits Bounds;
  Bounds.Memory = Memory;
  Bounds.MaxTotalIdleConnections =
      DescriptorShares(Config.Descriptors).IdlePeerConnections;
  Bounds.LocalHost = Config.PeerAddress.Host;
  Bounds.MaxIdleTime = std::chrono::seconds(20);
  Bounds.MaxBodyBytes = 64 << 20;
  Bounds.DeadPeerDetection.UnacknowledgedTimeout =
      std::chrono::milliseconds(900);
  return Bounds;
}

RetryBudget::Limits retryLimitsOf(const MeshSettings &Config) {
  RetryBudget::Limits Limits;
  Limits.Share = Config.RetryShare;
  Limits.Window = Config.RetryWindow;
  Limits.Allowance = Config.RetryAllowance;
  return Limits;
}

std::uint64_t seedOf(const std::string &Name) {
  auto Now = BootClock::now().time_since_epoch().count();
  return std::hash<std::string>()(Name) ^ static_cast<std::uint64_t>(Now);
}

/// Adds the inputs of a refusal that was decided in this process to \p Line.
LogLine &withInputs(LogLine &Line, const AttemptResult &Result) {
  if (!Result.Admission) {
    return Line;
  }
  const AdmissionInputs &Inputs = *Result.Admission;
  return Line.with("wait_ms", toMilliseconds(Inputs.ExpectedWait))
      .with("max_wait_ms", toMilliseconds(Inputs.MaxWait))
      .with("run_ms", toMilliseconds(Inputs.Run.Mean))
      .with("run_deviation_ms", toMilliseconds(Inputs.Run.Deviation))
      .with("run_samples", static_cast<long long>(Inputs.Run.Samples))
      .with("standing", Inputs.Standing ? 1 : 0)
      .with("owed", Inputs.Owed ? 1 : 0)
      .with("running", static_cast<long long>(Inputs.Running))
      .with("waiting", static_cast<long long>(Inputs.Waiting));
}

/// The value of confirmed_ms in logs; -1 when nothing was ever confirmed.
long long confirmedMilliseconds(const std::optional<Duration> &Age) {
  return Age ? toMilliseconds(*Age) : -1;
}

http::status statusOf(const AttemptResult &Result) {
  if (Result.Outcome == RequestOutcome::NotRun) {
    return http::status::service_unavailable;
  }
  return Result.Reason == AttemptReason::TimeOver
             ? http::status::gateway_timeout
             : http::status::bad_gateway;
}

} // namespace

/// State of one caller's request.
struct RequestRouter::RequestState {
  ConfigurationPtr ActiveConfiguration;
  const Route *SelectedRoute = nullptr;
  AttemptContext Context;
  TimePoint ArrivedAt;

  /// Age of the knowledge of the operators' rows when the request arrived;
  /// empty when they were never confirmed.
  std::optional<Duration> ConfigurationAge;
  bool Keyed = false;

  /// Number of backend servers to which the request was sent.
  std::uint32_t ServerAttempts = 0;
  std::set<InstanceId> TriedInstances;
  std::size_t Refusals = 0;
  bool MayHaveRun = false;
  InstanceId LastInstance;

  /// The owner of the key, as known at the last attempt.
  InstanceId KnownOwner;

  /// The shortest wait reported by any instance.
  std::optional<Duration> ShortestWait;
};

RequestRouter::RequestRouter(asio::io_context &Io, const MeshSettings &Config,
                             const MeshView &View, const LocalServer &Server,
                             BackendDispatcher &LocalDispatcher,
                             const RequestHeaderCodec &Codec,
                             RouterEvents &Events, MeshMetrics &Counters,
                             const MemoryBudgetPtr &Memory)
    : Io(Io), Config(Config), View(View), Server(Server),
      LocalDispatcher(LocalDispatcher), HeaderCodec(Codec), Events(Events),
      Counters(Counters), PeerClient(Io, peerLimits(Config, Memory)),
      Picker(Config.Region, Config.DataCenter, seedOf(Config.Instance)),
      Budget(retryLimitsOf(Config)), Link(Config.LinkMbps * BytesPerMbit),
      Gate(Io, Config.LinkMbps * BytesPerMbit, Responses, Counters),
      Random(seedOf(Config.Instance + "/targets")) {}

HttpResponse RequestRouter::errorAnswer(http::status Status,
                                        const std::string &RequestId,
                                        const char *Reason,
                                        std::optional<Duration> RetryAfter) {
  HttpResponse Response(Status, 11);
  Response.set(http::field::content_type, "text/plain");
  Response.body() = std::string(Reason) + "\n";
  this->HeaderCodec.setLocalAnswerHeaders(Response, RequestId, RetryAfter);
  return Response;
}

HttpResponse RequestRouter::serveCaller(HttpRequest &Request,
                                        CallerWatch &Watch,
                                        const asio::yield_context &Yield) {
  TimePoint Now = BootClock::now();
  CallerHeaders Headers = this->HeaderCodec.readCallerHeaders(Request);
  eraseHopByHopHeaders(Request);
  hop::erase(Request);

  RequestState State;
  State.ArrivedAt = Now;
  State.ActiveConfiguration = this->View.configuration();
  State.ConfigurationAge = this->View.operatorFreshness().age(Now);
  State.Context.RequestId = Headers.RequestId;
  if (!State.ActiveConfiguration) {
    LogLine(LogLevel::Info, "route", "refused")
        .with("request", Headers.RequestId)
        .with("reason", "no configuration is known yet");
    return this->errorAnswer(http::status::service_unavailable,
                             Headers.RequestId, "no configuration is known yet",
                             std::chrono::milliseconds(500));
  }

  this->Counters.recordConfigurationAge(State.ConfigurationAge);
  if (this->RejectingAll) {
    LogLine(LogLevel::Info, "route", "refused")
        .with("request", Headers.RequestId)
        .with("reason", "the process is about to end");
    return this->errorAnswer(http::status::service_unavailable,
                             Headers.RequestId, "the process is about to end",
                             RestartTime);
  }

  std::string Host = headerValue(Request, "Host");
  std::string Path =
      targetPath({Request.target().data(), Request.target().size()});
  State.SelectedRoute = State.ActiveConfiguration->findRoute(Host, Path);
  if (!State.SelectedRoute) {
    LogLine(LogLevel::Info, "route", "refused")
        .with("request", Headers.RequestId)
        .with("host", Host)
        .with("path", Path)
        .with("confirmed_ms", confirmedMilliseconds(State.ConfigurationAge))
        .with("configuration",
              static_cast<long long>(State.ActiveConfiguration->Version))
        .with("reason", "no route");
    return this->errorAnswer(http::status::not_found, Headers.RequestId,
                             "no route", std::nullopt);
  }

  Duration Timeout = std::min<Duration>(
      Headers.Timeout.value_or(DefaultTimeout), State.SelectedRoute->Timeout);
  State.Context.Service = this->selectTarget(*State.SelectedRoute);
  State.Keyed =
      State.ActiveConfiguration->isKeyed(State.Context.Service) && Headers.Key;
  if (State.Keyed) {
    State.Context.Key = Headers.Key;
  }
  State.Context.RouteName = State.SelectedRoute->Name;
  State.Context.Rank = State.SelectedRoute->Priority;
  State.Context.Deadline = Now + Timeout;
  State.Context.ObjectiveAt = Now + State.SelectedRoute->Objective;
  State.Context.CallerService = this->Server.service();
  State.Context.ConfigurationVersion = State.ActiveConfiguration->Version;
  this->Budget.setInstanceCount(this->View.instances().size());
  this->Budget.recordRequest(State.Context.Service, Now);

  AttemptResult Result = this->runAttempts(Request, State, Watch, Yield);
  return this->completeRequest(std::move(Result), State);
}

std::string RequestRouter::selectTarget(const Route &Selected) {
  double Sum = 0;
  for (const RouteTarget &Target : Selected.Targets) {
    Sum += Target.Weight;
  }

  std::uniform_real_distribution<double> Draw(0, Sum);
  double Remaining = Draw(this->Random);
  for (const RouteTarget &Target : Selected.Targets) {
    if (Remaining < Target.Weight) {
      return Target.Service;
    }
    Remaining -= Target.Weight;
  }
  return Selected.Targets.back().Service;
}

AttemptResult RequestRouter::runAttempts(HttpRequest &Request,
                                         RequestState &State,
                                         CallerWatch &Watch,
                                         const asio::yield_context &Yield) {
  AttemptResult Result = notRunResult(AttemptReason::NoInstance);

  while (!Watch.isGone()) {
    // The shutdown may have begun since the last attempt.
    State.Context.Deadline =
        std::min(State.Context.Deadline, this->LastAnswerAt);
    TimePoint Now = BootClock::now();
    auto Instance = this->selectInstance(State, Now);
    if (Instance) {
      Result = this->attemptAt(*Instance, Request, State, Watch, Yield);
    } else if (!this->hasHome(State)) {
      Result = notRunResult(AttemptReason::NoHome, NoHomeRetryAfter);
      break;
    } else if (State.Refusals == 0) {
      Result = notRunResult(AttemptReason::NoInstance);
    } else {
      break;
    }

    NextStep Next = this->nextStepAfter(Result, State, BootClock::now());
    if (Next == NextStep::Finish) {
      break;
    }
    if (Next == NextStep::RetryAfterPause) {
      sleepFor(this->Io, SearchInterval, Yield);
    }
  }

  // An earlier attempt may have run although the last one did not.
  bool MayHideRun =
      State.MayHaveRun && Result.Outcome == RequestOutcome::NotRun;
  return MayHideRun ? unknownResult(AttemptReason::Broken) : std::move(Result);
}

std::optional<InstanceId> RequestRouter::selectInstance(RequestState &State,
                                                        TimePoint Now) {
  auto MayUse = [&](const InstanceRow &Row) {
    return this->mayUseRegion(State, Row.Region);
  };
  if (!State.Keyed) {
    return this->Picker.pick(this->View, State.Context.Service,
                             State.Context.RouteName, State.TriedInstances, Now,
                             MayUse,
                             this->responseBytes(State.Context.RouteName));
  }

  InstanceId Owner = this->ownerOf(State.Context.Service, *State.Context.Key);
  State.KnownOwner = Owner;
  if (Owner.empty()) {
    this->Events.onOwnerStale(State.Context.Service);

    // Any owner of keys of the service knows the owner of this one.
    return this->Picker.pick(this->View, State.Context.Service,
                             State.Context.RouteName, {}, Now, MayUse);
  }
  const InstanceRow *Row = this->View.findInstance(Owner);
  bool Usable = Row && MayUse(*Row) && !this->Picker.isSuspect(Owner, Now);
  return Usable ? std::optional(Owner) : std::nullopt;
}

bool RequestRouter::mayUseRegion(const RequestState &State,
                                 const std::string &Region) const {
  // A newer configuration may have taken homes away since the request arrived.
  return isHomeRegion(*State.SelectedRoute, Region) &&
         isHomeRegion(*this->View.configuration(), State.Context.RouteName,
                      Region);
}

bool RequestRouter::hasHome(const RequestState &State) const {
  const Route *Newest =
      this->View.configuration()->findRouteByName(State.Context.RouteName);
  bool Restricted = State.SelectedRoute->HomeRegions ||
                    (Newest && Newest->HomeRegions) ||
                    !this->View.evacuated().empty();
  if (!Restricted) {
    return true;
  }
  if (State.Keyed) {
    const InstanceRow *Owner = this->View.findInstance(State.KnownOwner);
    return !Owner || this->mayUseRegion(State, Owner->Region);
  }
  const std::map<InstanceId, InstanceRow> &All = this->View.instances();
  return std::any_of(All.begin(), All.end(), [&](const auto &Entry) {
    const InstanceRow &Row = Entry.second;
    return Row.Service == State.Context.Service &&
           Row.State == ServerState::Ready &&
           !this->View.isEvacuated(Row.DataCenter) &&
           this->mayUseRegion(State, Row.Region);
  });
}

InstanceId RequestRouter::ownerOf(const std::string &Service, KeyNumber Key) {
  const MeshView::VersionedKeyMap *Owners = this->View.findKeyMap(Service);
  std::vector<OwnerHint> &Hints = this->OwnerHints[Service];
  std::erase_if(Hints, [&](const OwnerHint &Hint) {
    return Owners && Owners->Version >= Hint.MapVersion;
  });

  // A hint from a previous owner is more recent than an outdated view.
  for (auto Hint = Hints.rbegin(); Hint != Hints.rend(); ++Hint) {
    if (Hint->Keys.contains(Key)) {
      return Hint->Owner;
    }
  }
  return Owners ? Owners->Map.find(Key).Owner.Instance : InstanceId();
}

void RequestRouter::storeOwnerHint(const AttemptResult &Result,
                                   const RequestState &State) {
  bool IsUseful = !Result.Owner.empty() && Result.Owner != State.LastInstance;
  if (!IsUseful) {
    this->Events.onOwnerStale(State.Context.Service);
    return;
  }

  std::vector<OwnerHint> &Hints = this->OwnerHints[State.Context.Service];
  if (Hints.size() >= MaxOwnerHints) {
    Hints.erase(Hints.begin());
    this->Events.onOwnerStale(State.Context.Service);
  }
  Hints.push_back({Result.OwnerKeys, Result.Owner, Result.OwnerMapVersion});
}

Duration RequestRouter::maxWaitAtInstance(const RequestState &State,
                                          TimePoint Now) const {
  Duration Remaining = State.Context.Deadline - Now;
  Duration TimeToObjective =
      State.ArrivedAt + State.SelectedRoute->Objective - Now;

  // The first instances tried must have capacity soon; the last one may be
  // slow.
  bool Last = State.Keyed || State.Refusals + 1 >= MaxRefusals;
  Duration Limit = Last ? Remaining * 3 / 4 : TimeToObjective / 4;
  return std::max<Duration>(std::min(Limit, Remaining * 3 / 4),
                            Duration::zero());
}

AttemptResult RequestRouter::attemptAt(const InstanceId &Instance,
                                       HttpRequest &Request,
                                       RequestState &State, CallerWatch &Watch,
                                       const asio::yield_context &Yield) {
  const InstanceRow *Row = this->View.findInstance(Instance);
  State.LastInstance = Instance;
  State.Context.MaxWait = this->maxWaitAtInstance(State, BootClock::now());

  this->Picker.onRequestSent(Instance);
  AttemptResult Result =
      Instance == this->Config.Instance
          ? this->LocalDispatcher.serve(Request, State.Context, Watch, Yield)
          : this->forwardTo(InstanceRow(*Row), Request, State.Context, Watch,
                            Yield);
  this->Picker.onRequestEnded(Instance);

  TimePoint Now = BootClock::now();
  if (Result.Load) {
    this->Picker.onLoadReported(Instance, *Result.Load, Now);
    this->Events.onPeerLoad(Instance, Result.Load->OfferedLoad);
  }
  if (Result.Outcome == RequestOutcome::Answered) {
    this->Responses.record(State.Context.RouteName,
                           Result.Response.body().size(), Result.RunTime);
    this->Picker.recordRunTime(Instance, State.Context.RouteName,
                               Result.RunTime);
  }
  if (Result.Reason == AttemptReason::Unreachable) {
    this->Picker.onUnreachable(Instance, Now);
    if (State.Keyed) {
      this->Events.onOwnerUnreachable(State.Context.Service);
    }
  } else {
    this->Picker.onReachable(Instance);
  }
  if (State.Keyed && Result.Reason == AttemptReason::NotOwner) {
    this->storeOwnerHint(Result, State);
  }
  if (Result.Reason == AttemptReason::Cold) {
    this->Picker.onCold(Instance, Result.ExpectedWait, Now);
  }
  bool Unavailable = Result.Reason == AttemptReason::ServerUnavailable ||
                     Result.Reason == AttemptReason::Leaving;
  if (Unavailable && !State.Keyed) {
    this->Picker.onUnavailable(Instance, Now);
  }
  return Result;
}

std::optional<AttemptResult> RequestRouter::requestAdmission(
    const InstanceRow &Row, std::uint64_t Bytes, const AttemptContext &Context,
    CallerWatch &Watch, const asio::yield_context &Yield) {
  HttpRequest Request =
      hop::makeAdmissionRequest(Context, Bytes, BootClock::now());
  ExchangeOptions Bounds;
  Bounds.Deadline = Context.Deadline;
  Bounds.Watch = &Watch;
  ExchangeResult Exchange =
      this->PeerClient.exchange(Row.PeerAddress, Request, Bounds, Yield);
  if (Exchange.Outcome != ExchangeOutcome::Answered) {
    return notRunResult(Watch.Disconnected ? AttemptReason::CallerGone
                                           : AttemptReason::Unreachable);
  }
  AttemptResult Result = hop::takeResult(std::move(Exchange.Response));
  bool Admitted = Result.Outcome == RequestOutcome::NotRun &&
                  Result.Reason == AttemptReason::None;
  if (Admitted) {
    return std::nullopt;
  }
  // Nothing was sent to the backend server, whatever the response says.
  Result.Outcome = RequestOutcome::NotRun;
  return Result;
}

AttemptResult RequestRouter::admitBody(std::uint64_t Bytes,
                                       const AttemptContext &Context) {
  if (this->RejectingAll || this->Draining) {
    return notRunResult(AttemptReason::Leaving);
  }
  TimePoint Now = BootClock::now();
  Duration Wait = this->Link.expectedWait(Now);
  auto MaxWait = std::chrono::duration_cast<Duration>(
      (Context.ObjectiveAt - Now) * LinkWaitShare);
  if (Wait > std::max<Duration>(MaxWait, Duration::zero())) {
    return notRunResult(AttemptReason::Busy, Wait);
  }
  AttemptResult Refusal;
  if (!this->LocalDispatcher.mayAdmit(Context, Refusal)) {
    return Refusal;
  }
  this->Link.admit(Bytes, Now);
  return notRunResult(AttemptReason::None);
}

AttemptResult RequestRouter::forwardTo(const InstanceRow &Row,
                                       HttpRequest &Request,
                                       const AttemptContext &Context,
                                       CallerWatch &Watch,
                                       const asio::yield_context &Yield) {
  if (Request.body().size() > LargeBodyBytes) {
    auto Refusal = this->requestAdmission(Row, Request.body().size(), Context,
                                          Watch, Yield);
    if (Refusal) {
      return std::move(*Refusal);
    }
  }
  hop::writeContext(Request, Context, BootClock::now());
  ExchangeOptions Bounds;
  Bounds.Deadline = Context.Deadline + FinalResponseSlack;
  Bounds.Watch = &Watch;
  TimePoint SentAt = BootClock::now();
  ExchangeResult Exchange =
      this->PeerClient.exchange(Row.PeerAddress, Request, Bounds, Yield);
  hop::erase(Request);

  switch (Exchange.Outcome) {
  case ExchangeOutcome::NotSent:
  case ExchangeOutcome::TooLate:
    return notRunResult(Watch.Disconnected ? AttemptReason::CallerGone
                                           : AttemptReason::Unreachable);
  case ExchangeOutcome::Ambiguous:
    return unknownResult(BootClock::now() >= Context.Deadline
                             ? AttemptReason::TimeOver
                             : AttemptReason::Broken);
  case ExchangeOutcome::Answered:
    break;
  }
  eraseHopByHopHeaders(Exchange.Response);
  AttemptResult Result = hop::takeResult(std::move(Exchange.Response));
  this->Events.onPeerConfiguration(Result.ConfigurationVersion);
  this->Events.onPeerFreshness(Result.OperatorRows, SentAt);
  this->Events.onPeerView(Result.View, Row.PeerAddress);
  return Result;
}

RequestRouter::NextStep
RequestRouter::nextStepAfter(const AttemptResult &Result, RequestState &State,
                             TimePoint Now) {
  State.ServerAttempts += Result.ReachedServer ? 1 : 0;
  bool TimeLeft = Now + MinAttemptTime < State.Context.Deadline;

  switch (Result.Outcome) {
  case RequestOutcome::Answered:
    return NextStep::Finish;
  case RequestOutcome::Unknown:
    State.MayHaveRun = true;
    if (!TimeLeft || State.SelectedRoute->Retry != RetryPolicy::Repeatable ||
        !this->mayRetry(State, Now)) {
      return NextStep::Finish;
    }
    State.TriedInstances.insert(State.LastInstance);
    return NextStep::RetryNow;
  case RequestOutcome::NotRun:
    break;
  }

  if (!TimeLeft || (Result.ReachedServer && !this->mayRetry(State, Now))) {
    return NextStep::Finish;
  }
  return this->nextStepAfterNotRun(Result, State);
}

bool RequestRouter::mayRetry(const RequestState &State, TimePoint Now) {
  ServiceRanks Ranks =
      ranksOf(*State.ActiveConfiguration, State.Context.Service);
  RetryUrgency Urgency = State.Context.Rank > Ranks.MostUrgent
                             ? RetryUrgency::LessUrgent
                             : RetryUrgency::MostUrgent;
  return State.ServerAttempts < State.SelectedRoute->MaxAttempts &&
         this->Budget.tryConsume(State.Context.Service, Now, Urgency);
}

RequestRouter::NextStep
RequestRouter::nextStepAfterNotRun(const AttemptResult &Result,
                                   RequestState &State) {
  TimePoint Now = BootClock::now();
  auto TotalTime = State.Context.Deadline - State.ArrivedAt;
  bool MaySearch = Now - State.ArrivedAt < std::chrono::duration_cast<Duration>(
                                               TotalTime * SearchShare);

  switch (Result.Reason) {
  case AttemptReason::Busy:
  case AttemptReason::Cold:
    State.ShortestWait = std::min(
        State.ShortestWait.value_or(Result.ExpectedWait), Result.ExpectedWait);
    ++State.Refusals;
    State.TriedInstances.insert(State.LastInstance);
    return State.Keyed || State.Refusals >= MaxRefusals ? NextStep::Finish
                                                        : NextStep::RetryNow;
  case AttemptReason::CallerGone:
  case AttemptReason::TimeOver:
    return NextStep::Finish;
  case AttemptReason::KeyMoving:
    if (Result.ExpectedWait > Duration::zero()) {
      // The owner has already kept the request waiting for as long as that is
      // useful.
      return NextStep::Finish;
    }
    break;
  default:
    break;
  }

  if (!State.Keyed && !State.LastInstance.empty()) {
    State.TriedInstances.insert(State.LastInstance);
    ++State.Refusals;
    return State.Refusals >= 2 * MaxRefusals ? NextStep::Finish
                                             : NextStep::RetryNow;
  }
  if (!MaySearch) {
    return NextStep::Finish;
  }
  bool OwnerKnown = Result.Reason == AttemptReason::NotOwner &&
                    !Result.Owner.empty() && Result.Owner != State.LastInstance;
  return OwnerKnown ? NextStep::RetryNow : NextStep::RetryAfterPause;
}

HttpResponse RequestRouter::completeRequest(AttemptResult &&Result,
                                            const RequestState &State) {
  this->logRequest(Result, State);
  this->Counters.onRequest(Result.Outcome, Result.Reason,
                           BootClock::now() - State.ArrivedAt);
  if (Result.Outcome == RequestOutcome::Answered) {
    return std::move(Result.Response);
  }

  std::optional<Duration> RetryAfter;
  if (Result.Outcome == RequestOutcome::NotRun) {
    Duration ExpectedWait = State.ShortestWait.value_or(Result.ExpectedWait);
    Duration Minimum = std::max<Duration>(ExpectedWait, MinRetryAfter);
    std::uniform_real_distribution<double> Jitter(1.0, 2.0);
    RetryAfter =
        std::chrono::duration_cast<Duration>(Minimum * Jitter(this->Random));
  }
  return this->errorAnswer(statusOf(Result), State.Context.RequestId,
                           nameOf(Result.Reason), RetryAfter);
}

void RequestRouter::logRequest(const AttemptResult &Result,
                               const RequestState &State) const {
  bool IsErrorAnswer = Result.Outcome != RequestOutcome::Answered;
  LogLine Line(LogLevel::Info, "route", "request");
  withInputs(Line, Result)
      .with("request", State.Context.RequestId)
      .with("route", State.SelectedRoute->Name)
      .with("configuration",
            static_cast<long long>(State.ActiveConfiguration->Version))
      .with("confirmed_ms", confirmedMilliseconds(State.ConfigurationAge))
      .with("service", State.Context.Service)
      .with("key",
            State.Context.Key ? static_cast<long long>(*State.Context.Key) : -1)
      .with("rank", static_cast<long long>(State.Context.Rank))
      .with("instance", State.LastInstance)
      .with("reached", State.ServerAttempts)
      .with("refusals", static_cast<long long>(State.Refusals))
      .with("outcome", nameOf(Result.Outcome))
      .with("reason", nameOf(Result.Reason))
      .with("status", IsErrorAnswer
                          ? static_cast<int>(statusOf(Result))
                          : static_cast<int>(Result.Response.result_int()))
      .with("ms", toMilliseconds(BootClock::now() - State.ArrivedAt));
}

HttpResponse RequestRouter::servePeer(HttpRequest &Request, CallerWatch &Watch,
                                      const asio::yield_context &Yield) {
  TimePoint Now = BootClock::now();
  auto Context = hop::takeContext(Request, Now);
  eraseHopByHopHeaders(Request);
  if (!Context) {
    return hop::writeResult(notRunResult(AttemptReason::NotOwner));
  }

  this->Events.onPeerConfiguration(Context->ConfigurationVersion);
  if (auto Bytes = hop::parseAdmissionRequest(Request)) {
    return hop::writeResult(this->admitBody(*Bytes, *Context));
  }
  Context->RequestId = this->HeaderCodec.readCallerHeaders(Request).RequestId;
  Context->Deadline = std::min(Context->Deadline, this->LastAnswerAt);
  bool Reject = this->RejectingAll || (this->Draining && !Context->Key);
  AttemptResult Result =
      Reject ? notRunResult(AttemptReason::Leaving)
             : this->serveWithinLink(Request, *Context, Watch, Yield);
  LogLine Line(LogLevel::Info, "gate", "peer_request");
  withInputs(Line, Result)
      .with("request", Context->RequestId)
      .with("service", Context->Service)
      .with("rank", static_cast<long long>(Context->Rank))
      .with("key", Context->Key ? static_cast<long long>(*Context->Key) : -1)
      .with("outcome", nameOf(Result.Outcome))
      .with("reason", nameOf(Result.Reason))
      .with("status", Result.Response.result_int())
      .with("ms", toMilliseconds(BootClock::now() - Now));
  Result.ConfigurationVersion = this->activeVersion();
  Result.View = this->View.versions();
  Result.OperatorRows = this->View.operatorFreshness().report(Now);
  if (Context->Key && Result.Reason == AttemptReason::NotOwner) {
    this->addOwnerHint(Result, *Context);
  }
  return hop::writeResult(std::move(Result));
}

AttemptResult RequestRouter::serveWithinLink(HttpRequest &Request,
                                             const AttemptContext &Context,
                                             CallerWatch &Watch,
                                             const asio::yield_context &Yield) {
  ResponseAdmission::Reservation Place;
  auto Refusal = this->Gate.admit(Context, Place);
  AttemptResult Result =
      Refusal ? std::move(*Refusal)
              : this->LocalDispatcher.serve(Request, Context, Watch, Yield);
  Place.reset();
  if (Refusal) {
    Result.Load = this->LocalDispatcher.load();
  }
  if (Result.Outcome == RequestOutcome::Answered) {
    std::uint64_t Bytes = Result.Response.body().size();
    this->Responses.record(Context.RouteName, Bytes, Result.RunTime);
    this->Gate.waitForTurn(Context, Bytes, Watch, Yield);
  }
  if (Result.Load) {
    Result.Load->LinkBacklog = this->Gate.backlog();
  }
  return Result;
}

double RequestRouter::responseBytes(const std::string &RouteName) const {
  ResponseEstimate Expected = this->Responses.estimate(RouteName);
  return this->Config.LinkMbps > 0 && Expected.Large ? Expected.Bytes : 0;
}

void RequestRouter::addOwnerHint(AttemptResult &Result,
                                 const AttemptContext &Context) const {
  const MeshView::VersionedKeyMap *Owners =
      this->View.findKeyMap(Context.Service);
  if (!Owners) {
    return;
  }
  const KeyMapEntry &Entry = Owners->Map.find(*Context.Key);
  if (Entry.Owner.Instance != this->Config.Instance) {
    Result.Owner = Entry.Owner.Instance;
    Result.OwnerKeys = Entry.Keys;
    Result.OwnerMapVersion = Owners->Version;
  }
}

std::uint64_t RequestRouter::activeVersion() const {
  const ConfigurationPtr &Active = this->View.configuration();
  return Active ? Active->Version : 0;
}

} // namespace hemlockspar
