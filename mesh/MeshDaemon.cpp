#include "mesh/MeshDaemon.h"

#include "core/Log.h"
#include "mesh/CountingStore.h"
#include "mesh/DepartureClient.h"
#include "mesh/DescriptorShares.h"
#include "mesh/FailoverStoreTransport.h"
#include "mesh/GrantClient.h"
#include "mesh/HopCodec.h"
#include "mesh/OfferClient.h"
#include "mesh/PeerViewSync.h"
#include "mesh/ReportGrants.h"
#include "mesh/ReportHandler.h"
#include "mesh/RequestRouter.h"
#include "mesh/StoreSync.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <fstream>
#include <malloc.h>
#include <sstream>

namespace hemlockspar {

namespace asio = boost::asio;

namespace {

/// Interval at which pending work on leases and handovers of keys is processed.
constexpr auto TickInterval = std::chrono::milliseconds(100);

/// After SIGTERM the platform notices within two readiness checks, one per
/// second, that no more callers are to be sent here.
constexpr auto ReadinessNoticeTime = std::chrono::milliseconds(2600);

/// A stopping process exits once it has been idle this long.
constexpr auto IdleTimeBeforeExit = std::chrono::milliseconds(150);

/// Safety margin before the platform kills the process.
constexpr auto ExitMargin = std::chrono::milliseconds(400);

/// Requests end this long before the platform kills the process, so that their
/// answers are sent before it exits.
constexpr auto LastAnswerMargin = std::chrono::milliseconds(600);

constexpr auto ShutdownPollInterval = std::chrono::milliseconds(50);

/// Allocations of this size are mapped one by one, so that the memory of a
/// large body is returned when it is freed. Fixed: the allocator would raise
/// the threshold to the size of the largest one freed.
constexpr int MappedAllocationBytes = 128 << 10;

/// Value of the setting server.grants.
constexpr std::string_view GrantsByCallSetting = "rpc";

std::uint64_t chooseProcessNumber() {
  auto Now = std::chrono::system_clock::now().time_since_epoch().count();
  auto Steady = BootClock::now().time_since_epoch().count();
  return static_cast<std::uint64_t>(Now) ^
         (static_cast<std::uint64_t>(Steady) << 20);
}

/// A complete daemon. Everything runs on one thread: at some tens of requests
/// per second on a fifth of a core, passing requests between threads would cost
/// more wake-ups than it saves.
class MeshDaemon : private KeyOwnershipActions,
                   private RouterEvents,
                   private GrantClient::Listener {
public:
  MeshDaemon(const MeshSettings &Config, std::string SettingsPath,
             const MeshAdapters &Adapters);

  int run();

private:
  absl::Status listen();
  void applyConfiguration();
  void pullViewFromOwner(const std::string &Service);
  void onServerChanged();
  void onServerRefusedConnection();
  void onViewChanged();
  void recoverServer();
  std::unique_ptr<ServerGrants> makeGrants();
  std::vector<RelayCandidate> relayPeers() const;
  HttpResponse servePeerCall(HttpRequest &Request, CallerWatch &Watch,
                             const asio::yield_context &Yield);
  HttpResponse serveReadiness(const HttpRequest &Request) const;
  HttpResponse serveMetrics();
  bool isReady() const;
  bool isKeyed() const;
  void tick();
  void awaitSignal();
  void reload();
  void beginShutdown();
  void checkShutdown();

  // KeyOwnershipActions
  void commitLease(const TableTransaction &Write) override;
  void commitMap(const TableTransaction &Write) override;
  void readLeases() override;
  void readKeys() override;
  void readInstances() override;
  void sendOffer(const InstanceId &Receiver, double Load) override;
  void notifyOwners(const std::set<InstanceId> &Owners) override;
  void onKeyEvent(KeyEvent Event, const std::string &Detail) override;

  // GrantClient::Listener
  void onGrantResult(GrantCallNumber Number, GrantOutcome Outcome) override;
  void onReleaseResult(GrantCallNumber Number,
                       const std::optional<std::string> &State) override;
  void onGrantRefused() override { this->onServerRefusedConnection(); }

  // RouterEvents
  void onOwnerUnreachable(const std::string &Service) override {
    this->KeyManager.onOwnerUnreachable();
    this->onOwnerStale(Service);
  }
  void onOwnerStale(const std::string &Service) override {
    this->pullViewFromOwner(Service);
    this->Sync.refreshKeys();
  }
  void onPeerView(const ViewVersions &Versions, const Address &Peer) override {
    this->Views.onPeerVersions(Versions, Peer);
  }
  void onPeerLoad(const InstanceId &Instance, double OfferedLoad) override {
    this->KeyManager.onPeerLoad(Instance, OfferedLoad);
  }
  void onPeerFreshness(const FreshnessReport &Theirs,
                       TimePoint AskedAt) override {
    this->View.operatorFreshness().confirmByPeer(Theirs, AskedAt,
                                                 BootClock::now());
  }
  void onPeerConfiguration(std::uint64_t Version) override {
    this->Sync.onPeerConfiguration(Version);
  }

  const MeshSettings &Config;
  std::string SettingsPath;
  const MeshAdapters &Adapters;
  asio::io_context Io;

  MeshMetrics Counters;
  MemoryBudgetPtr Memory;
  MeshView View;
  FailoverStoreTransport Transport;
  std::unique_ptr<Store> StoreClient;
  StoreSync Sync;
  PeerViewSync Views;
  LocalServer Server;
  DepartureClient Departures;
  bool RecoveryStarted = false;
  OfferClient Offers;
  GrantClient GrantCaller;

  /// Set where keys are granted by calls.
  CallGrants *GrantsByCall = nullptr;
  std::unique_ptr<ServerGrants> Grants;
  KeyOwnershipManager KeyManager;
  BackendDispatcher Dispatcher;
  RequestRouter Router;
  ReportHandler ServerReports;

  HttpServer CallerServer;
  HttpServer PeerServer;
  HttpServer ReportServer;
  HttpServer ReadinessServer;
  HttpServer MetricsServer;

  asio::steady_timer TickTimer;
  asio::steady_timer StopTimer;
  asio::signal_set Signals;
  std::optional<TimePoint> ShutdownStartedAt;
  TimePoint LastBusyAt;
  bool Drained = false;

  bool GrantUpdatePosted = false;

  /// Number of owners asked for their view, to ask them in turn.
  std::size_t NextOwnerIndex = 0;
};

/// \p Share is the number of descriptors for the connections.
HttpLimits limitsOf(const MeshSettings &Config, std::size_t Share) {
  HttpLimits Limits;
  Limits.MaxConnections = std::min(Config.MaxConnections, Share);
  return Limits;
}

MeshDaemon::MeshDaemon(const MeshSettings &Config, std::string SettingsPath,
                       const MeshAdapters &Adapters)
    : Config(Config), SettingsPath(std::move(SettingsPath)), Adapters(Adapters),
      Io(1), Memory(std::make_shared<MemoryBudget>(Config.MemoryMb)),
      Transport(
          Io, Config.StoreAddress, Config.PeerAddress.Host, Config.Region,
          [this] { return this->relayPeers(); }, Memory),
      StoreClient(std::make_unique<CountingStore>(
          Adapters.MakeStore(Io, Transport), Counters)),
      Sync(Io, *StoreClient, View, *Adapters.Configurations, Config),
      Views(Io, View, Config.PeerAddress.Host, Memory), Server(Config, View),
      Departures(Io, View, Config), Offers(Io, Config.PeerAddress.Host),
      GrantCaller(Io, Server, *Adapters.Grants, *this), Grants(makeGrants()),
      KeyManager(Config.Instance, chooseProcessNumber(),
                 {Config.HeartbeatInterval, Config.MaxHoldTime}, View, *Grants,
                 *this, BootClock::now()),
      Dispatcher(
          Io, View, Server, KeyManager, *Adapters.Requests, Counters,
          [this] { this->onServerRefusedConnection(); }, Memory),
      Router(Io, Config, View, Server, Dispatcher, *Adapters.Requests, *this,
             Counters, Memory),
      ServerReports(Io, Config.Instance, View, Server, KeyManager, Departures,
                    *Adapters.Reports, [this] { this->onServerChanged(); }),
      CallerServer(
          Io, limitsOf(Config, DescriptorShares(Config.Descriptors).Callers),
          [this](HttpRequest &Request, CallerWatch &Watch,
                 const asio::yield_context &Yield) {
            return this->Router.serveCaller(Request, Watch, Yield);
          },
          Memory, PipelineLimits()),
      PeerServer(
          Io, limitsOf(Config, DescriptorShares(Config.Descriptors).Peers),
          [this](HttpRequest &Request, CallerWatch &Watch,
                 const asio::yield_context &Yield) {
            return this->servePeerCall(Request, Watch, Yield);
          },
          Memory),
      ReportServer(
          Io, limitsOf(Config, DescriptorShares(Config.Descriptors).Service),
          [this](HttpRequest &Request, CallerWatch &,
                 const asio::yield_context &Yield) {
            return this->ServerReports.serve(Request, Yield);
          },
          Memory),
      ReadinessServer(
          Io, limitsOf(Config, DescriptorShares(Config.Descriptors).Service),
          [this](HttpRequest &Request, CallerWatch &,
                 const asio::yield_context &) {
            return this->serveReadiness(Request);
          },
          Memory),
      MetricsServer(
          Io, limitsOf(Config, DescriptorShares(Config.Descriptors).Service),
          [this](HttpRequest &, CallerWatch &, const asio::yield_context &) {
            return this->serveMetrics();
          },
          Memory),
      TickTimer(Io), StopTimer(Io), Signals(Io, SIGTERM, SIGINT, SIGHUP) {
  this->View.addListener([this] { this->onViewChanged(); });
}

std::unique_ptr<ServerGrants> MeshDaemon::makeGrants() {
  TimePoint Now = BootClock::now();
  Duration Hold = KeyOwnershipManager::holdTime(
      {this->Config.HeartbeatInterval, this->Config.MaxHoldTime});
  if (this->Config.GrantMethod == GrantsByCallSetting) {
    auto ByCall = std::make_unique<CallGrants>(this->GrantCaller, Hold, Now);
    this->GrantsByCall = ByCall.get();
    return ByCall;
  }
  return std::make_unique<ReportGrants>(this->Config.HeartbeatInterval, Hold,
                                        Now);
}

absl::Status MeshDaemon::listen() {
  for (const absl::Status &Listening :
       {this->CallerServer.listen(this->Config.CallerAddress),
        this->PeerServer.listen(this->Config.PeerAddress),
        this->ReportServer.listen(this->Config.ReportAddress),
        this->ReadinessServer.listen(this->Config.ReadinessAddress)}) {
    if (!Listening.ok()) {
      return Listening;
    }
  }
  return absl::OkStatus();
}

int MeshDaemon::run() {
  absl::Status Listening = this->listen();
  if (!Listening.ok()) {
    LogLine(LogLevel::Error, "daemon", "start_failed")
        .with("error", std::string(Listening.message()));
    return 1;
  }

  // The daemon runs without the metrics page if it cannot be served.
  absl::Status Page =
      this->Config.MetricsAddress.Port > 0
          ? this->MetricsServer.listen(this->Config.MetricsAddress)
          : absl::OkStatus();
  if (!Page.ok()) {
    LogLine(LogLevel::Warning, "daemon", "no_metrics_page")
        .with("error", std::string(Page.message()));
  }

  this->awaitSignal();
  this->Sync.start();
  this->tick();
  LogLine(LogLevel::Info, "daemon", "started")
      .with("instance", this->Config.Instance)
      .with("service", this->Config.Service)
      .with("callers", this->Config.CallerAddress.toText())
      .with("inner", this->Config.PeerAddress.toText());

  while (!this->Io.stopped()) {
    try {
      this->Io.run();
    } catch (const std::exception &Exception) {
      // What failed ends; the other requests and the keys held here do not.
      LogLine(LogLevel::Error, "daemon", "unexpected_error")
          .with("error", Exception.what());
    }
  }
  LogLine(LogLevel::Info, "daemon", "stopped");
  return 0;
}

void MeshDaemon::applyConfiguration() {
  const ConfigurationPtr &Active = this->View.configuration();
  if (!Active) {
    return;
  }

  HttpLimits Limits = limitsOf(this->Config, this->Config.MaxConnections);
  Limits.MaxHeaderBytes = Active->Limits.HeaderBytes;
  Limits.MaxBodyBytes = Active->Limits.BodyBytes;
  Limits.IdleTimeout =
      std::chrono::ceil<std::chrono::milliseconds>(Active->Limits.IdleTimeout);
  this->CallerServer.setLimits(Limits);

  // Daemons add one header of their own and keep connections open longer.
  Limits.MaxHeaderBytes += 1024;
  Limits.IdleTimeout = std::chrono::seconds(60);
  this->PeerServer.setLimits(Limits);
}

void MeshDaemon::onViewChanged() {
  this->applyConfiguration();
  this->Dispatcher.onViewChanged();
  this->recoverServer();
  if (!this->GrantsByCall || this->GrantUpdatePosted) {
    return;
  }

  // Keys that have just been assigned here are granted at once.
  this->GrantUpdatePosted = true;
  asio::post(this->Io, [this] {
    this->GrantUpdatePosted = false;
    if (this->isKeyed()) {
      this->KeyManager.tick(BootClock::now());
    }
  });
}

void MeshDaemon::recoverServer() {
  if (this->RecoveryStarted || !this->View.hasReadBothTables()) {
    return;
  }

  this->RecoveryStarted = true;
  const InstanceId &Self = this->Config.Instance;
  auto Finish = [this](const std::optional<ServerIncarnation> &Left) {
    this->Server.recover(this->View.findInstance(this->Config.Instance), Left);
    LogLine(LogLevel::Info, "daemon", "server_recovered")
        .with("server", this->Server.lastReport().Incarnation.Id)
        .with("state", nameOf(this->Server.state()));
    this->onServerChanged();
  };

  // A departure in the store needs no witnesses, and an instance without a row
  // had no backend server before.
  const InstanceRow *Own = this->View.findInstance(Self);
  bool Known = Own && Own->State == ServerState::Leaving;
  if (Known || this->View.instanceVersion(Self) == 0) {
    Finish(std::nullopt);
  } else {
    this->Departures.recover(Finish);
  }
}

void MeshDaemon::onServerRefusedConnection() {
  this->Server.onConnectionRefused(BootClock::now());
  this->KeyManager.onConnectionRefused(BootClock::now());
  this->onServerChanged();
}

void MeshDaemon::onServerChanged() {
  this->Dispatcher.onServerChanged();
  if (this->Server.hasRow()) {
    this->Sync.setOwnRow(this->Server.toRow());
  }
}

std::vector<RelayCandidate> MeshDaemon::relayPeers() const {
  std::vector<RelayCandidate> Peers;
  for (const auto &[Name, Row] : this->View.instances()) {
    if (Name != this->Config.Instance) {
      Peers.push_back({Row.PeerAddress, Row.Region, Row.DataCenter});
    }
  }
  return Peers;
}

HttpResponse MeshDaemon::servePeerCall(HttpRequest &Request, CallerWatch &Watch,
                                       const asio::yield_context &Yield) {
  // A forwarded request has the headers of its caller, whatever their names.
  if (hop::isForwarded(Request)) {
    return this->Router.servePeer(Request, Watch, Yield);
  }
  if (FailoverStoreTransport::isRelayCall(Request)) {
    return this->Transport.relay(Request, Yield);
  }
  if (auto Response = this->Views.handle(Request)) {
    return std::move(*Response);
  }
  if (auto Response = this->Departures.handle(Request)) {
    return std::move(*Response);
  }
  if (auto Load = OfferClient::parseOffer(Request)) {
    return OfferClient::makeResponse(
        this->KeyManager.onOffer(*Load, BootClock::now()));
  }
  return this->Router.servePeer(Request, Watch, Yield);
}

bool MeshDaemon::isReady() const {
  return this->View.configuration() && this->View.hasReadBothTables() &&
         !this->ShutdownStartedAt;
}

HttpResponse MeshDaemon::serveReadiness(const HttpRequest &Request) const {
  std::string Path =
      targetPath({Request.target().data(), Request.target().size()});
  if (Path != this->Adapters.ReadinessPath) {
    return HttpResponse(http::status::not_found, 11);
  }
  return HttpResponse(this->isReady() ? http::status::ok
                                      : http::status::service_unavailable,
                      11);
}

HttpResponse MeshDaemon::serveMetrics() {
  const ConfigurationPtr &Active = this->View.configuration();
  this->Counters.setLoad(this->Dispatcher.load());
  this->Counters.setLinkBacklog(this->Router.linkBacklog());
  this->Counters.setConfiguration(Active ? Active->Version : 0);
  if (auto Age = this->View.operatorFreshness().age(BootClock::now())) {
    this->Counters.setConfigurationAge(*Age);
  }
  this->Counters.setInstances(this->View.instances().size());
  this->Counters.setMemory(*this->Memory);
  this->Counters.setDisplaced("callers", this->CallerServer.displacedCount());
  this->Counters.setDisplaced("peers", this->PeerServer.displacedCount());

  HttpResponse Response(http::status::ok, 11);
  Response.set(http::field::content_type, "text/plain; version=0.0.4");
  Response.body() = this->Counters.toText();
  return Response;
}

bool MeshDaemon::isKeyed() const {
  const ConfigurationPtr &Active = this->View.configuration();
  return Active && Active->isKeyed(this->Server.service());
}

void MeshDaemon::tick() {
  TimePoint Now = BootClock::now();
  this->Sync.checkOperatorRows(Now);
  if (this->Dispatcher.load().Waiting > 0) {
    this->Dispatcher.shedExpired();
  }
  if (this->isKeyed()) {
    this->Sync.followKeys();
    this->KeyManager.setLoad(this->Dispatcher.offeredLoad(Now),
                             this->Dispatcher.recentOfferedLoad(Now), Now);
    this->KeyManager.tick(Now);
  }
  this->TickTimer.expires_after(TickInterval);
  this->TickTimer.async_wait([this](const boost::system::error_code &Error) {
    if (!Error) {
      this->tick();
    }
  });
}

// Signals

void MeshDaemon::awaitSignal() {
  this->Signals.async_wait(
      [this](const boost::system::error_code &Error, int Signal) {
        if (Error) {
          return;
        }
        if (Signal == SIGHUP) {
          this->reload();
        } else if (!this->ShutdownStartedAt) {
          this->beginShutdown();
        }
        this->awaitSignal();
      });
}

void MeshDaemon::reload() {
  std::ifstream File(this->SettingsPath);
  std::stringstream Text;
  Text << File.rdbuf();
  auto NewSettings = parseMeshSettings(Text.str(), this->SettingsPath);
  if (!File || !NewSettings.ok()) {
    LogLine(LogLevel::Warning, "daemon", "reload_refused")
        .with("path", this->SettingsPath)
        .with("reason", File ? std::string(NewSettings.status().message())
                             : std::string("the file cannot be read"));
    return;
  }
  setLogLevel(NewSettings->LogLevel);
  LogLine(LogLevel::Info, "daemon", "reloaded")
      .with("log_level", NewSettings->LogLevel);
}

void MeshDaemon::beginShutdown() {
  TimePoint Now = BootClock::now();
  this->ShutdownStartedAt = Now;
  this->LastBusyAt = Now;
  this->Router.startDraining(Now + this->Config.StopTime - LastAnswerMargin);
  this->CallerServer.disableKeepAlive();
  this->PeerServer.disableKeepAlive();
  LogLine(LogLevel::Info, "daemon", "stop_begun")
      .with("in_flight",
            static_cast<long long>(this->CallerServer.activeRequestCount()));
  this->checkShutdown();
}

void MeshDaemon::checkShutdown() {
  TimePoint Now = BootClock::now();
  bool Busy = this->CallerServer.activeRequestCount() +
                  this->PeerServer.activeRequestCount() >
              0;
  if (Busy) {
    this->LastBusyAt = Now;
  }

  Duration Age = Now - *this->ShutdownStartedAt;
  if (Age >= ReadinessNoticeTime) {
    this->Router.rejectNewRequests();
  }
  bool Idle = Age >= ReadinessNoticeTime &&
              Now - this->LastBusyAt >= IdleTimeBeforeExit;
  if (Idle) {
    this->CallerServer.drain();
  }
  bool Ended =
      Idle && this->Drained && this->CallerServer.connectionCount() == 0;
  if (Ended || Age >= this->Config.StopTime - ExitMargin) {
    this->Io.stop();
    return;
  }
  this->Drained = Idle;
  this->StopTimer.expires_after(ShutdownPollInterval);
  this->StopTimer.async_wait([this](const boost::system::error_code &Error) {
    if (!Error) {
      this->checkShutdown();
    }
  });
}

// GrantClient::Listener

void MeshDaemon::onGrantResult(GrantCallNumber Number, GrantOutcome Outcome) {
  TimePoint Now = BootClock::now();
  this->GrantsByCall->onGrantResult(Number, Outcome, Now);
  this->KeyManager.tick(Now);
}

void MeshDaemon::onReleaseResult(GrantCallNumber Number,
                                 const std::optional<std::string> &State) {
  TimePoint Now = BootClock::now();
  this->GrantsByCall->onReleaseResult(Number, State, Now);
  this->KeyManager.tick(Now);
}

// KeyOwnershipActions

void MeshDaemon::commitLease(const TableTransaction &Write) {
  TimePoint SentAt = BootClock::now();
  this->StoreClient->commit(Write, [this, SentAt](const StoreCommit &Commit) {
    this->KeyManager.onLeaseCommit(Commit, SentAt, BootClock::now());
  });
}

void MeshDaemon::commitMap(const TableTransaction &Write) {
  this->StoreClient->commit(Write, [this, Write](const StoreCommit &Commit) {
    if (Commit.Result.Outcome == CommitOutcome::Committed) {
      StoreRows Written;
      Written.Rows = writtenRows(Write, Commit.Result.Version).Rows;
      this->View.apply(Written);
    } else if (!Commit.Current.empty()) {
      StoreRows Current;
      Current.Rows = Commit.Current;
      this->View.apply(Current);
    }
    this->KeyManager.onMapCommit(Commit, BootClock::now());
  });
}

void MeshDaemon::readLeases() {
  TimePoint SentAt = BootClock::now();
  this->StoreClient->readTable(
      tables::Leases, [this, SentAt](const std::optional<StoreRows> &Read) {
        this->KeyManager.onLeasesRead(Read, SentAt, BootClock::now());
      });
}

void MeshDaemon::readKeys() { this->Sync.readKeys(); }

void MeshDaemon::readInstances() {
  this->Sync.readInstances([this](bool Done) {
    this->KeyManager.onInstancesRead(Done, BootClock::now());
  });
}

void MeshDaemon::sendOffer(const InstanceId &Receiver, double Load) {
  const InstanceRow *Row = this->View.findInstance(Receiver);
  if (!Row) {
    asio::post(this->Io, [this, Receiver] {
      this->KeyManager.onOfferResponse(Receiver, std::nullopt,
                                       BootClock::now());
    });
    return;
  }
  this->Offers.send(
      Row->PeerAddress, Load,
      [this, Receiver](const std::optional<OfferResponse> &Answer) {
        this->KeyManager.onOfferResponse(Receiver, Answer, BootClock::now());
      });
}

void MeshDaemon::notifyOwners(const std::set<InstanceId> &Owners) {
  auto Row = this->View.keyMapRow(this->Server.service());
  for (const InstanceId &Owner : Owners) {
    const InstanceRow *OwnerRow = this->View.findInstance(Owner);
    if (Row && OwnerRow) {
      this->Views.pushTo(*Row, OwnerRow->PeerAddress);
    }
  }
}

void MeshDaemon::pullViewFromOwner(const std::string &Service) {
  std::vector<Address> Near;
  std::vector<Address> Far;
  for (const auto &[Name, Row] : this->View.instances()) {
    bool Eligible = Row.Service == Service && Row.State == ServerState::Ready &&
                    Name != this->Config.Instance;
    if (Eligible) {
      (Row.Region == this->Config.Region ? Near : Far)
          .push_back(Row.PeerAddress);
    }
  }

  const std::vector<Address> &Owners = Near.empty() ? Far : Near;
  if (!Owners.empty()) {
    this->Views.pullFrom(Owners[this->NextOwnerIndex++ % Owners.size()]);
  }
}

void MeshDaemon::onKeyEvent(KeyEvent Event, const std::string &Detail) {
  LogLine(LogLevel::Info, "keys", nameOf(Event))
      .with("service", this->Server.service())
      .with("detail", Detail);
}

} // namespace

int runMeshDaemon(const MeshSettings &Config, const std::string &SettingsPath,
                  const MeshAdapters &Adapters) {
  std::signal(SIGPIPE, SIG_IGN);
  mallopt(M_MMAP_THRESHOLD, MappedAllocationBytes);
  return MeshDaemon(Config, SettingsPath, Adapters).run();
}

} // namespace hemlockspar
