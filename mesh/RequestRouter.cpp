#include "mesh/RequestRouter.h"

#include "core/Log.h"
#include "daemon/RequestHeaders.h"
#include "mesh/HopCodec.h"
#include "net/Event.h"

#include <algorithm>

namespace hemlockspar {

namespace asio = boost::asio;

namespace {

/// Used for requests that state no time: the longest that a caller plausibly
/// waits. The route's timeout binds where it is shorter.
constexpr auto DefaultPatience = std::chrono::seconds(30);

/// Another daemon's word that a request did not run is awaited this much past
/// its end, for the way back between regions.
constexpr auto LastWordSlack = std::chrono::milliseconds(90);

/// Between two looks for an instance that can serve a request.
constexpr auto LookPause = std::chrono::milliseconds(40);

/// A request waits for an owner of its key, or for an instance, at most this
/// part of its time; then it is refused, so that the caller can come back.
constexpr double LookShare = 0.5;

/// Words of moved keys that are kept for one service until its map is read.
constexpr std::size_t MostHints = 32;

/// A try that has less time than this left cannot end well.
constexpr auto ShortestTry = std::chrono::milliseconds(20);

/// Instances that may refuse a request before it is given up.
constexpr std::size_t MostRefusals = 4;

/// Requests of other services come back no sooner than this, spread by as much
/// again, so that they do not return all at once.
constexpr auto ShortestReturn = std::chrono::milliseconds(150);

/// About the time in which a process that ends is started again.
constexpr auto RestartTime = std::chrono::milliseconds(600);

HttpClient::Limits peerLimits(const MeshSettings &Config) {
  HttpClient::Limits Bounds;
  Bounds.LocalHost = Config.PeerAddress.Host;
  Bounds.MaxIdle = std::chrono::seconds(20);
  Bounds.BodyBytes = 64 << 20;
  Bounds.Silence.Unacknowledged = std::chrono::milliseconds(900);
  return Bounds;
}

RetryBudget::Limits budgetOf(const MeshSettings &Config) {
  RetryBudget::Limits Terms;
  Terms.Share = Config.RetryShare;
  Terms.Window = Config.RetryWindow;
  Terms.Allowance = Config.RetryAllowance;
  return Terms;
}

std::uint64_t seedOf(const std::string &Name) {
  auto Now = BootClock::now().time_since_epoch().count();
  return std::hash<std::string>()(Name) ^ static_cast<std::uint64_t>(Now);
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

/// One request of a caller on its way.
struct RequestRouter::RequestState {
  ConfigurationPtr ActiveConfiguration;
  const Route *SelectedRoute = nullptr;
  AttemptContext Context;
  TimePoint ArrivedAt;
  bool Keyed = false;

  /// Backend servers that were sent the request.
  std::uint32_t ServerAttempts = 0;
  std::set<InstanceId> TriedInstances;
  std::size_t Refusals = 0;
  bool MayHaveRun = false;
  InstanceId LastInstance;

  /// The shortest wait that any instance told.
  std::optional<Duration> ShortestWait;
};

RequestRouter::RequestRouter(asio::io_context &Io, const MeshSettings &Config,
                             const MeshView &View, const LocalServer &Server,
                             BackendDispatcher &Local,
                             const RequestHeaderCodec &Dialect,
                             RouterEvents &Events, MeshMetrics &Counters)
    : Io(Io), Config(Config), View(View), Server(Server),
      LocalDispatcher(Local), HeaderCodec(Dialect), Events(Events),
      Counters(Counters), PeerClient(Io, peerLimits(Config)),
      Picker(Config.Region, Config.DataCenter, seedOf(Config.Instance)),
      Budget(budgetOf(Config)), Random(seedOf(Config.Instance + "/targets")) {}

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
  CallerHeaders Demand = this->HeaderCodec.readCallerHeaders(Request);
  eraseHopHeaders(Request);
  hop::erase(Request);

  RequestState Way;
  Way.ArrivedAt = Now;
  Way.ActiveConfiguration = this->View.configuration();
  Way.Context.RequestId = Demand.RequestId;
  if (!Way.ActiveConfiguration) {
    LogLine(LogLevel::Info, "route", "refused")
        .with("request", Demand.RequestId)
        .with("reason", "no configuration is known yet");
    return this->errorAnswer(http::status::service_unavailable,
                             Demand.RequestId, "no configuration is known yet",
                             std::chrono::milliseconds(500));
  }

  if (this->RejectingAll) {
    LogLine(LogLevel::Info, "route", "refused")
        .with("request", Demand.RequestId)
        .with("reason", "the process is about to end");
    return this->errorAnswer(http::status::service_unavailable,
                             Demand.RequestId, "the process is about to end",
                             RestartTime);
  }

  std::string Host = headerOf(Request, "Host");
  std::string Path = pathOf({Request.target().data(), Request.target().size()});
  Way.SelectedRoute = Way.ActiveConfiguration->findRoute(Host, Path);
  if (!Way.SelectedRoute) {
    LogLine(LogLevel::Info, "route", "refused")
        .with("request", Demand.RequestId)
        .with("host", Host)
        .with("path", Path)
        .with("configuration",
              static_cast<long long>(Way.ActiveConfiguration->Version))
        .with("reason", "no route");
    return this->errorAnswer(http::status::not_found, Demand.RequestId,
                             "no route", std::nullopt);
  }

  Duration Patience = std::min<Duration>(
      Demand.Timeout.value_or(DefaultPatience), Way.SelectedRoute->Timeout);
  Way.Context.Service = this->selectTarget(*Way.SelectedRoute);
  Way.Keyed =
      Way.ActiveConfiguration->isKeyed(Way.Context.Service) && Demand.Key;
  if (Way.Keyed) {
    Way.Context.Key = Demand.Key;
  }
  Way.Context.RouteName = Way.SelectedRoute->Name;
  Way.Context.Rank = Way.SelectedRoute->Priority;
  Way.Context.Deadline = Now + Patience;
  Way.Context.ObjectiveAt = Now + Way.SelectedRoute->Objective;
  Way.Context.CallerService = this->Server.service();
  Way.Context.ConfigurationVersion = Way.ActiveConfiguration->Version;
  this->Budget.setInstanceCount(this->View.instances().size());
  this->Budget.recordRequest(Way.Context.Service, Now);

  AttemptResult Result = this->runAttempts(Request, Way, Watch, Yield);
  return this->completeRequest(std::move(Result), Way);
}

std::string RequestRouter::selectTarget(const Route &Chosen) {
  double Sum = 0;
  for (const RouteTarget &Target : Chosen.Targets) {
    Sum += Target.Weight;
  }

  std::uniform_real_distribution<double> Draw(0, Sum);
  double Left = Draw(this->Random);
  for (const RouteTarget &Target : Chosen.Targets) {
    if (Left < Target.Weight) {
      return Target.Service;
    }
    Left -= Target.Weight;
  }
  return Chosen.Targets.back().Service;
}

AttemptResult RequestRouter::runAttempts(HttpRequest &Request,
                                         RequestState &Way, CallerWatch &Watch,
                                         const asio::yield_context &Yield) {
  AttemptResult Result = notRunResult(AttemptReason::NoInstance);

  while (!Watch.Gone) {
    TimePoint Now = BootClock::now();
    auto Instance = this->selectInstance(Way, Now);
    if (Instance) {
      Result = this->attemptAt(*Instance, Request, Way, Watch, Yield);
    } else if (Way.Refusals == 0) {
      Result = notRunResult(AttemptReason::NoInstance);
    } else {
      break;
    }

    NextStep Next = this->nextStepAfter(Result, Way, BootClock::now());
    if (Next == NextStep::Finish) {
      break;
    }
    if (Next == NextStep::RetryAfterPause) {
      sleepFor(this->Io, LookPause, Yield);
    }
  }

  // An earlier try may have run although the last one did not.
  bool Hidden = Way.MayHaveRun && Result.Outcome == RequestOutcome::NotRun;
  return Hidden ? unknownResult(AttemptReason::Broken) : std::move(Result);
}

std::optional<InstanceId> RequestRouter::selectInstance(RequestState &Way,
                                                        TimePoint Now) {
  if (!Way.Keyed) {
    return this->Picker.pick(this->View, Way.Context.Service,
                             Way.Context.RouteName, Way.TriedInstances, Now);
  }

  InstanceId Owner = this->ownerOf(Way.Context.Service, *Way.Context.Key);
  if (Owner.empty()) {
    this->Events.onOwnerStale(Way.Context.Service);

    // Any owner of other keys knows whose this one is.
    return this->Picker.pick(this->View, Way.Context.Service,
                             Way.Context.RouteName, {}, Now);
  }
  bool Usable =
      this->View.findInstance(Owner) && !this->Picker.isSuspect(Owner, Now);
  return Usable ? std::optional(Owner) : std::nullopt;
}

InstanceId RequestRouter::ownerOf(const std::string &Service, KeyNumber Key) {
  const MeshView::VersionedKeyMap *Owners = this->View.findKeyMap(Service);
  std::vector<OwnerHint> &Known = this->OwnerHints[Service];
  std::erase_if(Known, [&](const OwnerHint &Told) {
    return Owners && Owners->Version >= Told.MapVersion;
  });

  // Whoever owned the key before knows better than an old view.
  for (auto Told = Known.rbegin(); Told != Known.rend(); ++Told) {
    if (Told->Keys.contains(Key)) {
      return Told->Owner;
    }
  }
  return Owners ? Owners->Map.find(Key).Holder.Instance : InstanceId();
}

void RequestRouter::storeOwnerHint(const AttemptResult &Result,
                                   const RequestState &Way) {
  bool Useful = !Result.Owner.empty() && Result.Owner != Way.LastInstance;
  if (!Useful) {
    this->Events.onOwnerStale(Way.Context.Service);
    return;
  }

  std::vector<OwnerHint> &Known = this->OwnerHints[Way.Context.Service];
  if (Known.size() >= MostHints) {
    Known.erase(Known.begin());
    this->Events.onOwnerStale(Way.Context.Service);
  }
  Known.push_back({Result.OwnerKeys, Result.Owner, Result.OwnerMapVersion});
}

Duration RequestRouter::maxWaitAtInstance(const RequestState &Way,
                                          TimePoint Now) const {
  Duration Left = Way.Context.Deadline - Now;
  Duration Aim = Way.ArrivedAt + Way.SelectedRoute->Objective - Now;

  // The first instances asked must have room soon; the last one may be slow.
  bool Last = Way.Keyed || Way.Refusals + 1 >= MostRefusals;
  Duration Most = Last ? Left * 3 / 4 : Aim / 4;
  return std::max<Duration>(std::min(Most, Left * 3 / 4), Duration::zero());
}

AttemptResult RequestRouter::attemptAt(const InstanceId &Instance,
                                       HttpRequest &Request, RequestState &Way,
                                       CallerWatch &Watch,
                                       const asio::yield_context &Yield) {
  const InstanceRow *Row = this->View.findInstance(Instance);
  Way.LastInstance = Instance;
  Way.Context.MaxWait = this->maxWaitAtInstance(Way, BootClock::now());

  this->Picker.onRequestSent(Instance);
  AttemptResult Result =
      Instance == this->Config.Instance
          ? this->LocalDispatcher.serve(Request, Way.Context, Watch, Yield)
          : this->forwardTo(InstanceRow(*Row), Request, Way.Context, Watch,
                            Yield);
  this->Picker.onRequestEnded(Instance);

  TimePoint Now = BootClock::now();
  if (Result.Load) {
    this->Picker.onLoadReported(Instance, *Result.Load, Now);
    this->Events.onPeerLoad(Instance, Result.Load->OfferedLoad);
  }
  if (Result.Outcome == RequestOutcome::Answered) {
    this->Picker.recordRunTime(Instance, Way.Context.RouteName, Result.RunTime);
  }
  if (Result.Reason == AttemptReason::Unreachable) {
    this->Picker.onUnreachable(Instance, Now);
    if (Way.Keyed) {
      this->Events.onOwnerUnreachable(Way.Context.Service);
    }
  } else {
    this->Picker.onReachable(Instance);
  }
  if (Way.Keyed && Result.Reason == AttemptReason::NotOwner) {
    this->storeOwnerHint(Result, Way);
  }
  bool Unavailable = Result.Reason == AttemptReason::ServerUnavailable ||
                     Result.Reason == AttemptReason::Leaving;
  if (Unavailable && !Way.Keyed) {
    this->Picker.onUnavailable(Instance, Now);
  }
  return Result;
}

AttemptResult RequestRouter::forwardTo(const InstanceRow &Row,
                                       HttpRequest &Request,
                                       const AttemptContext &Terms,
                                       CallerWatch &Watch,
                                       const asio::yield_context &Yield) {
  hop::writeContext(Request, Terms, BootClock::now());
  ExchangeTerms Bounds;
  Bounds.Deadline = Terms.Deadline + LastWordSlack;
  Bounds.Watch = &Watch;
  ExchangeResult Exchange =
      this->PeerClient.exchange(Row.PeerAddress, Request, Bounds, Yield);
  hop::erase(Request);

  switch (Exchange.Outcome) {
  case ExchangeOutcome::NotSent:
  case ExchangeOutcome::TooLate:
    return notRunResult(Watch.Gone ? AttemptReason::CallerGone
                                   : AttemptReason::Unreachable);
  case ExchangeOutcome::Ambiguous:
    return unknownResult(BootClock::now() >= Terms.Deadline
                             ? AttemptReason::TimeOver
                             : AttemptReason::Broken);
  case ExchangeOutcome::Answered:
    break;
  }
  eraseHopHeaders(Exchange.Response);
  AttemptResult Result = hop::takeResult(std::move(Exchange.Response));
  this->Events.onPeerConfiguration(Result.ConfigurationVersion);
  this->Events.onPeerView(Result.View, Row.PeerAddress);
  return Result;
}

RequestRouter::NextStep
RequestRouter::nextStepAfter(const AttemptResult &Result, RequestState &Way,
                             TimePoint Now) {
  Way.ServerAttempts += Result.ReachedServer ? 1 : 0;
  bool TimeLeft = Now + ShortestTry < Way.Context.Deadline;

  switch (Result.Outcome) {
  case RequestOutcome::Answered:
    return NextStep::Finish;
  case RequestOutcome::Unknown:
    Way.MayHaveRun = true;
    if (!TimeLeft || Way.SelectedRoute->Retry != RetryPolicy::Repeatable ||
        !this->mayRetry(Way, Now)) {
      return NextStep::Finish;
    }
    Way.TriedInstances.insert(Way.LastInstance);
    return NextStep::RetryNow;
  case RequestOutcome::NotRun:
    break;
  }

  if (!TimeLeft || (Result.ReachedServer && !this->mayRetry(Way, Now))) {
    return NextStep::Finish;
  }
  return this->nextStepAfterNotRun(Result, Way);
}

bool RequestRouter::mayRetry(const RequestState &Way, TimePoint Now) {
  return Way.ServerAttempts < Way.SelectedRoute->MaxAttempts &&
         this->Budget.tryConsume(Way.Context.Service, Now);
}

RequestRouter::NextStep
RequestRouter::nextStepAfterNotRun(const AttemptResult &Result,
                                   RequestState &Way) {
  TimePoint Now = BootClock::now();
  auto Whole = Way.Context.Deadline - Way.ArrivedAt;
  bool MayLook = Now - Way.ArrivedAt <
                 std::chrono::duration_cast<Duration>(Whole * LookShare);

  switch (Result.Reason) {
  case AttemptReason::Busy:
    Way.ShortestWait = std::min(Way.ShortestWait.value_or(Result.ExpectedWait),
                                Result.ExpectedWait);
    ++Way.Refusals;
    Way.TriedInstances.insert(Way.LastInstance);
    return Way.Keyed || Way.Refusals >= MostRefusals ? NextStep::Finish
                                                     : NextStep::RetryNow;
  case AttemptReason::CallerGone:
  case AttemptReason::TimeOver:
    return NextStep::Finish;
  case AttemptReason::KeyMoving:
    if (Result.ExpectedWait > Duration::zero()) {
      // The owner has let it wait for as long as that may be of use.
      return NextStep::Finish;
    }
    break;
  default:
    break;
  }

  if (!Way.Keyed && !Way.LastInstance.empty()) {
    Way.TriedInstances.insert(Way.LastInstance);
    ++Way.Refusals;
    return Way.Refusals >= 2 * MostRefusals ? NextStep::Finish
                                            : NextStep::RetryNow;
  }
  if (!MayLook) {
    return NextStep::Finish;
  }
  bool Named = Result.Reason == AttemptReason::NotOwner &&
               !Result.Owner.empty() && Result.Owner != Way.LastInstance;
  return Named ? NextStep::RetryNow : NextStep::RetryAfterPause;
}

HttpResponse RequestRouter::completeRequest(AttemptResult &&Result,
                                            const RequestState &Way) {
  this->logRequest(Result, Way);
  this->Counters.onRequest(Result.Outcome, Result.Reason,
                           BootClock::now() - Way.ArrivedAt);
  if (Result.Outcome == RequestOutcome::Answered) {
    return std::move(Result.Response);
  }

  std::optional<Duration> RetryAfter;
  if (Result.Outcome == RequestOutcome::NotRun) {
    Duration Room = Way.ShortestWait.value_or(Result.ExpectedWait);
    Duration Least = std::max<Duration>(Room, ShortestReturn);
    std::uniform_real_distribution<double> Vary(1.0, 2.0);
    RetryAfter =
        std::chrono::duration_cast<Duration>(Least * Vary(this->Random));
  }
  return this->errorAnswer(statusOf(Result), Way.Context.RequestId,
                           nameOf(Result.Reason), RetryAfter);
}

void RequestRouter::logRequest(const AttemptResult &Result,
                               const RequestState &Way) const {
  bool Own = Result.Outcome != RequestOutcome::Answered;
  LogLine(LogLevel::Info, "route", "request")
      .with("request", Way.Context.RequestId)
      .with("route", Way.SelectedRoute->Name)
      .with("configuration",
            static_cast<long long>(Way.ActiveConfiguration->Version))
      .with("service", Way.Context.Service)
      .with("key",
            Way.Context.Key ? static_cast<long long>(*Way.Context.Key) : -1)
      .with("rank", static_cast<long long>(Way.Context.Rank))
      .with("instance", Way.LastInstance)
      .with("reached", Way.ServerAttempts)
      .with("refusals", static_cast<long long>(Way.Refusals))
      .with("outcome", nameOf(Result.Outcome))
      .with("reason", nameOf(Result.Reason))
      .with("status", Own ? static_cast<int>(statusOf(Result))
                          : static_cast<int>(Result.Response.result_int()))
      .with("ms", toMilliseconds(BootClock::now() - Way.ArrivedAt));
}

HttpResponse RequestRouter::servePeer(HttpRequest &Request, CallerWatch &Watch,
                                      const asio::yield_context &Yield) {
  TimePoint Now = BootClock::now();
  auto Terms = hop::takeContext(Request, Now);
  eraseHopHeaders(Request);
  if (!Terms) {
    return hop::writeResult(notRunResult(AttemptReason::NotOwner));
  }

  this->Events.onPeerConfiguration(Terms->ConfigurationVersion);
  Terms->RequestId = this->HeaderCodec.readCallerHeaders(Request).RequestId;
  bool Elsewhere = this->RejectingAll || (this->Draining && !Terms->Key);
  AttemptResult Result =
      Elsewhere ? notRunResult(AttemptReason::Leaving)
                : this->LocalDispatcher.serve(Request, *Terms, Watch, Yield);
  LogLine(LogLevel::Info, "gate", "peer_request")
      .with("request", Terms->RequestId)
      .with("service", Terms->Service)
      .with("key", Terms->Key ? static_cast<long long>(*Terms->Key) : -1)
      .with("outcome", nameOf(Result.Outcome))
      .with("reason", nameOf(Result.Reason))
      .with("status", Result.Response.result_int())
      .with("ms", toMilliseconds(BootClock::now() - Now));
  Result.ConfigurationVersion = this->activeVersion();
  Result.View = this->View.marks();
  if (Terms->Key && Result.Reason == AttemptReason::NotOwner) {
    this->addOwnerHint(Result, *Terms);
  }
  return hop::writeResult(std::move(Result));
}

void RequestRouter::addOwnerHint(AttemptResult &Result,
                                 const AttemptContext &Terms) const {
  const MeshView::VersionedKeyMap *Owners =
      this->View.findKeyMap(Terms.Service);
  if (!Owners) {
    return;
  }
  const OwnedKeys &Entry = Owners->Map.find(*Terms.Key);
  if (Entry.Holder.Instance != this->Config.Instance) {
    Result.Owner = Entry.Holder.Instance;
    Result.OwnerKeys = Entry.Keys;
    Result.OwnerMapVersion = Owners->Version;
  }
}

std::uint64_t RequestRouter::activeVersion() const {
  const ConfigurationPtr &InForce = this->View.configuration();
  return InForce ? InForce->Version : 0;
}

} // namespace hemlockspar
