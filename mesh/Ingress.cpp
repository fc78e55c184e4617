#include "mesh/Ingress.h"

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
  Bounds.LocalHost = Config.Inner.Host;
  Bounds.MaxIdleTime = std::chrono::seconds(20);
  Bounds.MaxBodyBytes = 64 << 20;
  Bounds.DeadPeerDetection.UnacknowledgedTimeout =
      std::chrono::milliseconds(900);
  return Bounds;
}

RetryBudget::Terms budgetOf(const MeshSettings &Config) {
  RetryBudget::Terms Terms;
  Terms.Share = Config.RepeatShare;
  Terms.Window = Config.RepeatWindow;
  Terms.Allowance = Config.RepeatAllowance;
  return Terms;
}

std::uint64_t seedOf(const std::string &Name) {
  auto Now = BootClock::now().time_since_epoch().count();
  return std::hash<std::string>()(Name) ^ static_cast<std::uint64_t>(Now);
}

http::status statusOf(const TryResult &Result) {
  if (Result.Outcome == RequestOutcome::NotRun) {
    return http::status::service_unavailable;
  }
  return Result.Reason == TryReason::TimeOver ? http::status::gateway_timeout
                                              : http::status::bad_gateway;
}

} // namespace

/// One request of a caller on its way.
struct Ingress::Journey {
  ConfigurationPtr InForce;
  const Route *Chosen = nullptr;
  TryTerms Terms;
  TimePoint ArrivedAt;
  bool Keyed = false;

  /// Backend servers that were sent the request.
  std::uint32_t Reached = 0;
  std::set<InstanceId> Tried;
  std::size_t Refusals = 0;
  bool MayHaveRun = false;
  InstanceId Last;

  /// The shortest wait that any instance told.
  std::optional<Duration> BestWait;
};

Ingress::Ingress(asio::io_context &Io, const MeshSettings &Config,
                 const MeshView &View, const LocalServer &Server, Gate &Local,
                 const RequestDialect &Dialect, IngressEvents &Events,
                 MeshMetrics &Counters)
    : Io(Io), Config(Config), View(View), Server(Server), Local(Local),
      Dialect(Dialect), Events(Events), Counters(Counters),
      Peers(Io, peerLimits(Config)),
      Picker(Config.Region, Config.DataCenter, seedOf(Config.Instance)),
      Budget(budgetOf(Config)), Random(seedOf(Config.Instance + "/targets")) {}

HttpResponse Ingress::refuse(http::status Status, const std::string &RequestId,
                             const char *Reason,
                             std::optional<Duration> RetryAfter) {
  HttpResponse Response(Status, 11);
  Response.set(http::field::content_type, "text/plain");
  Response.body() = std::string(Reason) + "\n";
  this->Dialect.finishOwnAnswer(Response, RequestId, RetryAfter);
  return Response;
}

HttpResponse Ingress::serveCaller(HttpRequest &Request, CallerWatch &Watch,
                                  const asio::yield_context &Yield) {
  TimePoint Now = BootClock::now();
  CallerDemand Demand = this->Dialect.readDemand(Request);
  eraseHopByHopHeaders(Request);
  hop::erase(Request);

  Journey Way;
  Way.ArrivedAt = Now;
  Way.InForce = this->View.configuration();
  Way.Terms.RequestId = Demand.RequestId;
  if (!Way.InForce) {
    LogLine(LogLevel::Info, "route", "refused")
        .with("request", Demand.RequestId)
        .with("reason", "no configuration is known yet");
    return this->refuse(http::status::service_unavailable, Demand.RequestId,
                        "no configuration is known yet",
                        std::chrono::milliseconds(500));
  }

  if (this->Refusing) {
    LogLine(LogLevel::Info, "route", "refused")
        .with("request", Demand.RequestId)
        .with("reason", "the process is about to end");
    return this->refuse(http::status::service_unavailable, Demand.RequestId,
                        "the process is about to end", RestartTime);
  }

  std::string Host = headerValue(Request, "Host");
  std::string Path =
      targetPath({Request.target().data(), Request.target().size()});
  Way.Chosen = Way.InForce->findRoute(Host, Path);
  if (!Way.Chosen) {
    LogLine(LogLevel::Info, "route", "refused")
        .with("request", Demand.RequestId)
        .with("host", Host)
        .with("path", Path)
        .with("configuration", static_cast<long long>(Way.InForce->Version))
        .with("reason", "no route");
    return this->refuse(http::status::not_found, Demand.RequestId, "no route",
                        std::nullopt);
  }

  Duration Patience = std::min<Duration>(
      Demand.Patience.value_or(DefaultPatience), Way.Chosen->Timeout);
  Way.Terms.Service = this->pickTarget(*Way.Chosen);
  Way.Keyed = Way.InForce->isKeyed(Way.Terms.Service) && Demand.Key;
  if (Way.Keyed) {
    Way.Terms.Key = Demand.Key;
  }
  Way.Terms.RouteName = Way.Chosen->Name;
  Way.Terms.Rank = Way.Chosen->Priority;
  Way.Terms.GiveUpAt = Now + Patience;
  Way.Terms.AimAt = Now + Way.Chosen->Objective;
  Way.Terms.CallerService = this->Server.service();
  Way.Terms.Configuration = Way.InForce->Version;
  this->Budget.setInstances(this->View.instances().size());
  this->Budget.onRequest(Way.Terms.Service, Now);

  TryResult Result = this->travel(Request, Way, Watch, Yield);
  return this->finish(std::move(Result), Way);
}

std::string Ingress::pickTarget(const Route &Chosen) {
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

TryResult Ingress::travel(HttpRequest &Request, Journey &Way,
                          CallerWatch &Watch,
                          const asio::yield_context &Yield) {
  TryResult Result = tryNotRun(TryReason::NoInstance);

  while (!Watch.Disconnected) {
    TimePoint Now = BootClock::now();
    auto Instance = this->choose(Way, Now);
    if (Instance) {
      Result = this->tryAt(*Instance, Request, Way, Watch, Yield);
    } else if (Way.Refusals == 0) {
      Result = tryNotRun(TryReason::NoInstance);
    } else {
      break;
    }

    NextStep Next = this->judge(Result, Way, BootClock::now());
    if (Next == NextStep::Finish) {
      break;
    }
    if (Next == NextStep::TryAfterPause) {
      sleepFor(this->Io, LookPause, Yield);
    }
  }

  // An earlier try may have run although the last one did not.
  bool Hidden = Way.MayHaveRun && Result.Outcome == RequestOutcome::NotRun;
  return Hidden ? tryUnknown(TryReason::Broken) : std::move(Result);
}

std::optional<InstanceId> Ingress::choose(Journey &Way, TimePoint Now) {
  if (!Way.Keyed) {
    return this->Picker.pick(this->View, Way.Terms.Service, Way.Terms.RouteName,
                             Way.Tried, Now);
  }

  InstanceId Owner = this->ownerOf(Way.Terms.Service, *Way.Terms.Key);
  if (Owner.empty()) {
    this->Events.ownerWrong(Way.Terms.Service);

    // Any owner of other keys knows whose this one is.
    return this->Picker.pick(this->View, Way.Terms.Service, Way.Terms.RouteName,
                             {}, Now);
  }
  bool Usable =
      this->View.findInstance(Owner) && !this->Picker.isSuspect(Owner, Now);
  return Usable ? std::optional(Owner) : std::nullopt;
}

InstanceId Ingress::ownerOf(const std::string &Service, KeyNumber Key) {
  const MeshView::VersionedKeyMap *Owners = this->View.findKeyMap(Service);
  std::vector<Hint> &Known = this->Hints[Service];
  std::erase_if(Known, [&](const Hint &Told) {
    return Owners && Owners->Version >= Told.MapVersion;
  });

  // Whoever owned the key before knows better than an old view.
  for (auto Told = Known.rbegin(); Told != Known.rend(); ++Told) {
    if (Told->Keys.contains(Key)) {
      return Told->Owner;
    }
  }
  return Owners ? Owners->Map.find(Key).Owner.Instance : InstanceId();
}

void Ingress::takeHint(const TryResult &Result, const Journey &Way) {
  bool Useful = !Result.Owner.empty() && Result.Owner != Way.Last;
  if (!Useful) {
    this->Events.ownerWrong(Way.Terms.Service);
    return;
  }

  std::vector<Hint> &Known = this->Hints[Way.Terms.Service];
  if (Known.size() >= MostHints) {
    Known.erase(Known.begin());
    this->Events.ownerWrong(Way.Terms.Service);
  }
  Known.push_back({Result.OwnersKeys, Result.Owner, Result.OwnersVersion});
}

Duration Ingress::allowedWait(const Journey &Way, TimePoint Now) const {
  Duration Left = Way.Terms.GiveUpAt - Now;
  Duration Aim = Way.ArrivedAt + Way.Chosen->Objective - Now;

  // The first instances asked must have room soon; the last one may be slow.
  bool Last = Way.Keyed || Way.Refusals + 1 >= MostRefusals;
  Duration Most = Last ? Left * 3 / 4 : Aim / 4;
  return std::max<Duration>(std::min(Most, Left * 3 / 4), Duration::zero());
}

TryResult Ingress::tryAt(const InstanceId &Instance, HttpRequest &Request,
                         Journey &Way, CallerWatch &Watch,
                         const asio::yield_context &Yield) {
  const InstanceRow *Row = this->View.findInstance(Instance);
  Way.Last = Instance;
  Way.Terms.MaxWait = this->allowedWait(Way, BootClock::now());

  this->Picker.onSent(Instance);
  TryResult Result =
      Instance == this->Config.Instance
          ? this->Local.serve(Request, Way.Terms, Watch, Yield)
          : this->sendTo(InstanceRow(*Row), Request, Way.Terms, Watch, Yield);
  this->Picker.onEnded(Instance);

  TimePoint Now = BootClock::now();
  if (Result.Load) {
    this->Picker.onLoad(Instance, *Result.Load, Now);
    this->Events.loadSeen(Instance, Result.Load->Wanted);
  }
  if (Result.Outcome == RequestOutcome::Answered) {
    this->Picker.onRun(Instance, Way.Terms.RouteName, Result.Run);
  }
  if (Result.Reason == TryReason::Unreachable) {
    this->Picker.onUnreachable(Instance, Now);
    if (Way.Keyed) {
      this->Events.ownerUnreachable(Way.Terms.Service);
    }
  } else {
    this->Picker.onReached(Instance);
  }
  if (Way.Keyed && Result.Reason == TryReason::NotOwner) {
    this->takeHint(Result, Way);
  }
  bool Unavailable = Result.Reason == TryReason::ServerUnavailable ||
                     Result.Reason == TryReason::Leaving;
  if (Unavailable && !Way.Keyed) {
    this->Picker.onUnavailable(Instance, Now);
  }
  return Result;
}

TryResult Ingress::sendTo(const InstanceRow &Row, HttpRequest &Request,
                          const TryTerms &Terms, CallerWatch &Watch,
                          const asio::yield_context &Yield) {
  hop::writeTerms(Request, Terms, BootClock::now());
  ExchangeOptions Bounds;
  Bounds.Deadline = Terms.GiveUpAt + LastWordSlack;
  Bounds.Watch = &Watch;
  ExchangeResult Exchange =
      this->Peers.exchange(Row.Inner, Request, Bounds, Yield);
  hop::erase(Request);

  switch (Exchange.Outcome) {
  case ExchangeOutcome::NotSent:
  case ExchangeOutcome::TooLate:
    return tryNotRun(Watch.Disconnected ? TryReason::CallerGone
                                        : TryReason::Unreachable);
  case ExchangeOutcome::Ambiguous:
    return tryUnknown(BootClock::now() >= Terms.GiveUpAt ? TryReason::TimeOver
                                                         : TryReason::Broken);
  case ExchangeOutcome::Answered:
    break;
  }
  eraseHopByHopHeaders(Exchange.Response);
  TryResult Result = hop::takeResult(std::move(Exchange.Response));
  this->Events.configurationSeen(Result.Configuration);
  this->Events.viewSeen(Result.View, Row.Inner);
  return Result;
}

Ingress::NextStep Ingress::judge(const TryResult &Result, Journey &Way,
                                 TimePoint Now) {
  Way.Reached += Result.Reached ? 1 : 0;
  bool TimeLeft = Now + ShortestTry < Way.Terms.GiveUpAt;

  switch (Result.Outcome) {
  case RequestOutcome::Answered:
    return NextStep::Finish;
  case RequestOutcome::Unknown:
    Way.MayHaveRun = true;
    if (!TimeLeft || Way.Chosen->Repeat != RepeatRule::Repeatable ||
        !this->mayRepeat(Way, Now)) {
      return NextStep::Finish;
    }
    Way.Tried.insert(Way.Last);
    return NextStep::TryNow;
  case RequestOutcome::NotRun:
    break;
  }

  if (!TimeLeft || (Result.Reached && !this->mayRepeat(Way, Now))) {
    return NextStep::Finish;
  }
  return this->afterNotRun(Result, Way);
}

bool Ingress::mayRepeat(const Journey &Way, TimePoint Now) {
  return Way.Reached < Way.Chosen->MaxAttempts &&
         this->Budget.take(Way.Terms.Service, Now);
}

Ingress::NextStep Ingress::afterNotRun(const TryResult &Result, Journey &Way) {
  TimePoint Now = BootClock::now();
  auto Whole = Way.Terms.GiveUpAt - Way.ArrivedAt;
  bool MayLook = Now - Way.ArrivedAt <
                 std::chrono::duration_cast<Duration>(Whole * LookShare);

  switch (Result.Reason) {
  case TryReason::Busy:
    Way.BestWait = std::min(Way.BestWait.value_or(Result.Wait), Result.Wait);
    ++Way.Refusals;
    Way.Tried.insert(Way.Last);
    return Way.Keyed || Way.Refusals >= MostRefusals ? NextStep::Finish
                                                     : NextStep::TryNow;
  case TryReason::CallerGone:
  case TryReason::TimeOver:
    return NextStep::Finish;
  case TryReason::KeyMoving:
    if (Result.Wait > Duration::zero()) {
      // The owner has let it wait for as long as that may be of use.
      return NextStep::Finish;
    }
    break;
  default:
    break;
  }

  if (!Way.Keyed && !Way.Last.empty()) {
    Way.Tried.insert(Way.Last);
    ++Way.Refusals;
    return Way.Refusals >= 2 * MostRefusals ? NextStep::Finish
                                            : NextStep::TryNow;
  }
  if (!MayLook) {
    return NextStep::Finish;
  }
  bool Named = Result.Reason == TryReason::NotOwner && !Result.Owner.empty() &&
               Result.Owner != Way.Last;
  return Named ? NextStep::TryNow : NextStep::TryAfterPause;
}

HttpResponse Ingress::finish(TryResult &&Result, const Journey &Way) {
  this->log(Result, Way);
  this->Counters.onRequest(Result.Outcome, Result.Reason,
                           BootClock::now() - Way.ArrivedAt);
  if (Result.Outcome == RequestOutcome::Answered) {
    return std::move(Result.Response);
  }

  std::optional<Duration> RetryAfter;
  if (Result.Outcome == RequestOutcome::NotRun) {
    Duration Room = Way.BestWait.value_or(Result.Wait);
    Duration Least = std::max<Duration>(Room, ShortestReturn);
    std::uniform_real_distribution<double> Vary(1.0, 2.0);
    RetryAfter =
        std::chrono::duration_cast<Duration>(Least * Vary(this->Random));
  }
  return this->refuse(statusOf(Result), Way.Terms.RequestId,
                      nameOf(Result.Reason), RetryAfter);
}

void Ingress::log(const TryResult &Result, const Journey &Way) const {
  bool Own = Result.Outcome != RequestOutcome::Answered;
  LogLine(LogLevel::Info, "route", "request")
      .with("request", Way.Terms.RequestId)
      .with("route", Way.Chosen->Name)
      .with("configuration", static_cast<long long>(Way.InForce->Version))
      .with("service", Way.Terms.Service)
      .with("key", Way.Terms.Key ? static_cast<long long>(*Way.Terms.Key) : -1)
      .with("rank", static_cast<long long>(Way.Terms.Rank))
      .with("instance", Way.Last)
      .with("reached", Way.Reached)
      .with("refusals", static_cast<long long>(Way.Refusals))
      .with("outcome", nameOf(Result.Outcome))
      .with("reason", nameOf(Result.Reason))
      .with("status", Own ? static_cast<int>(statusOf(Result))
                          : static_cast<int>(Result.Response.result_int()))
      .with("ms", toMilliseconds(BootClock::now() - Way.ArrivedAt));
}

HttpResponse Ingress::servePeer(HttpRequest &Request, CallerWatch &Watch,
                                const asio::yield_context &Yield) {
  TimePoint Now = BootClock::now();
  auto Terms = hop::takeTerms(Request, Now);
  eraseHopByHopHeaders(Request);
  if (!Terms) {
    return hop::writeResult(tryNotRun(TryReason::NotOwner));
  }

  this->Events.configurationSeen(Terms->Configuration);
  Terms->RequestId = this->Dialect.readDemand(Request).RequestId;
  bool Elsewhere = this->Refusing || (this->Stopping && !Terms->Key);
  TryResult Result = Elsewhere
                         ? tryNotRun(TryReason::Leaving)
                         : this->Local.serve(Request, *Terms, Watch, Yield);
  LogLine(LogLevel::Info, "gate", "peer_request")
      .with("request", Terms->RequestId)
      .with("service", Terms->Service)
      .with("key", Terms->Key ? static_cast<long long>(*Terms->Key) : -1)
      .with("outcome", nameOf(Result.Outcome))
      .with("reason", nameOf(Result.Reason))
      .with("status", Result.Response.result_int())
      .with("ms", toMilliseconds(BootClock::now() - Now));
  Result.Configuration = this->versionInForce();
  Result.View = this->View.versions();
  if (Terms->Key && Result.Reason == TryReason::NotOwner) {
    this->nameOwner(Result, *Terms);
  }
  return hop::writeResult(std::move(Result));
}

void Ingress::nameOwner(TryResult &Result, const TryTerms &Terms) const {
  const MeshView::VersionedKeyMap *Owners =
      this->View.findKeyMap(Terms.Service);
  if (!Owners) {
    return;
  }
  const KeyMapEntry &Entry = Owners->Map.find(*Terms.Key);
  if (Entry.Owner.Instance != this->Config.Instance) {
    Result.Owner = Entry.Owner.Instance;
    Result.OwnersKeys = Entry.Keys;
    Result.OwnersVersion = Owners->Version;
  }
}

std::uint64_t Ingress::versionInForce() const {
  const ConfigurationPtr &InForce = this->View.configuration();
  return InForce ? InForce->Version : 0;
}

} // namespace hemlockspar
