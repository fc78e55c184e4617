#include "mesh/MeshDaemon.h"

#include "core/Log.h"
#include "mesh/CountingStore.h"
#include "mesh/Ingress.h"
#include "mesh/OfferClient.h"
#include "mesh/PeerViewSync.h"
#include "mesh/ServerDesk.h"
#include "mesh/StorePath.h"
#include "mesh/StoreSync.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <fstream>
#include <sstream>

namespace hemlockspar {

namespace asio = boost::asio;

namespace {

/// How often waiting work is looked at: leases and moves of keys.
constexpr auto KeeperTick = std::chrono::milliseconds(100);

/// After SIGTERM the platform notices within two of its questions, one a
/// second, that no more callers are to be sent here.
constexpr auto NoticeTime = std::chrono::milliseconds(2600);

/// A stopping process ends once it has been idle this long.
constexpr auto IdleBeforeEnd = std::chrono::milliseconds(150);

/// Kept free before the platform ends the process by force.
constexpr auto EndMargin = std::chrono::milliseconds(400);

constexpr auto StopTick = std::chrono::milliseconds(50);

std::uint64_t chooseProcessNumber() {
  auto Now = std::chrono::system_clock::now().time_since_epoch().count();
  auto Steady = BootClock::now().time_since_epoch().count();
  return static_cast<std::uint64_t>(Now) ^
         (static_cast<std::uint64_t>(Steady) << 20);
}

/// All of one daemon. Everything runs on one thread: at some tens of requests
/// a second on a fifth of a core, handing requests between threads costs more
/// wake-ups than it saves.
class MeshDaemon : private KeyOwnershipActions, private IngressEvents {
public:
  MeshDaemon(const MeshSettings &Config, std::string SettingsPath,
             const MeshAdapters &Adapters);

  int run();

private:
  absl::Status listen();
  void applyConfiguration();
  void askOwner(const std::string &Service);
  void onServerChanged();
  std::vector<Address> relayPeers() const;
  HttpResponse serveInner(HttpRequest &Request, CallerWatch &Watch,
                          const asio::yield_context &Yield);
  HttpResponse serveReadiness(const HttpRequest &Request) const;
  HttpResponse serveMetrics();
  bool isReady() const;
  bool isKeyed() const;
  void tick();
  void awaitSignal();
  void reload();
  void beginStop();
  void checkStopped();

  // KeyKeeperActions
  void commitLease(const TableTransaction &Write) override;
  void commitMap(const TableTransaction &Write) override;
  void readLeases() override;
  void readKeys() override;
  void sendOffer(const InstanceId &Receiver, double Load) override;
  void notifyOwners(const std::set<InstanceId> &Owners) override;
  void onKeyEvent(KeyEvent Event, const std::string &Detail) override;

  // IngressEvents
  void ownerUnreachable(const std::string &Service) override {
    this->Keeper.onOwnerUnreachable();
    this->ownerWrong(Service);
  }
  void ownerWrong(const std::string &Service) override {
    this->askOwner(Service);
    this->Sync.refreshKeys();
  }
  void viewSeen(const ViewVersions &Marks, const Address &Peer) override {
    this->Views.onPeerVersions(Marks, Peer);
  }
  void loadSeen(const InstanceId &Instance, double Wanted) override {
    this->Keeper.onPeerLoad(Instance, Wanted);
  }
  void configurationSeen(std::uint64_t Version) override {
    this->Sync.onConfigurationSeen(Version);
  }

  const MeshSettings &Config;
  std::string SettingsPath;
  const MeshAdapters &Adapters;
  asio::io_context Io;

  MeshMetrics Counters;
  MeshView View;
  StorePath Path;
  std::unique_ptr<Store> Rows;
  StoreSync Sync;
  PeerViewSync Views;
  LocalServer Server;
  OfferClient Offers;
  KeyOwnershipManager Keeper;
  Gate Way;
  Ingress Requests;
  ServerDesk Desk;

  HttpServer Callers;
  HttpServer Inner;
  HttpServer Reports;
  HttpServer Readiness;
  HttpServer MetricsPage;

  asio::steady_timer Ticker;
  asio::steady_timer StopTimer;
  asio::signal_set Signals;
  std::optional<TimePoint> StoppingSince;
  TimePoint BusyAt;
  bool Drained = false;

  /// Counts the daemons that were asked for news, to ask each in turn.
  std::size_t NextAsked = 0;
};

HttpLimits limitsOf(const MeshSettings &Config) {
  HttpLimits Limits;
  Limits.MaxConnections = Config.Connections;
  return Limits;
}

MeshDaemon::MeshDaemon(const MeshSettings &Config, std::string SettingsPath,
                       const MeshAdapters &Adapters)
    : Config(Config), SettingsPath(std::move(SettingsPath)), Adapters(Adapters),
      Io(1), Path(Io, Config.Store, Config.Inner.Host,
                  [this] { return this->relayPeers(); }),
      Rows(std::make_unique<CountingStore>(Adapters.MakeStore(Io, Path),
                                           Counters)),
      Sync(Io, *Rows, View, *Adapters.Configurations, Config),
      Views(Io, View, Config.Inner.Host), Server(Config, View),
      Offers(Io, Config.Inner.Host),
      Keeper(Config.Instance, chooseProcessNumber(),
             {Config.Heartbeat, Config.LongestHold}, View, *this,
             BootClock::now()),
      Way(Io, Server, Keeper, *Adapters.Requests, Counters,
          [this] {
            this->Server.onRefused();
            this->Keeper.onConnectionRefused(BootClock::now());
            this->onServerChanged();
          }),
      Requests(Io, Config, View, Server, Way, *Adapters.Requests, *this,
               Counters),
      Desk(Io, View, Server, Keeper, *Adapters.Reports,
           [this] { this->onServerChanged(); }),
      Callers(Io, limitsOf(Config),
              [this](HttpRequest &Request, CallerWatch &Watch,
                     const asio::yield_context &Yield) {
                return this->Requests.serveCaller(Request, Watch, Yield);
              }),
      Inner(Io, limitsOf(Config),
            [this](HttpRequest &Request, CallerWatch &Watch,
                   const asio::yield_context &Yield) {
              return this->serveInner(Request, Watch, Yield);
            }),
      Reports(Io, limitsOf(Config),
              [this](HttpRequest &Request, CallerWatch &,
                     const asio::yield_context &Yield) {
                return this->Desk.serve(Request, Yield);
              }),
      Readiness(Io, limitsOf(Config),
                [this](HttpRequest &Request, CallerWatch &,
                       const asio::yield_context &) {
                  return this->serveReadiness(Request);
                }),
      MetricsPage(
          Io, limitsOf(Config),
          [this](HttpRequest &, CallerWatch &, const asio::yield_context &) {
            return this->serveMetrics();
          }),
      Ticker(Io), StopTimer(Io), Signals(Io, SIGTERM, SIGINT, SIGHUP) {
  this->View.addListener([this] { this->applyConfiguration(); });
}

absl::Status MeshDaemon::listen() {
  for (const absl::Status &Listening :
       {this->Callers.listen(this->Config.Callers),
        this->Inner.listen(this->Config.Inner),
        this->Reports.listen(this->Config.Reports),
        this->Readiness.listen(this->Config.Readiness)}) {
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

  // Requests are served without the page, too.
  absl::Status Page = this->Config.Metrics.Port > 0
                          ? this->MetricsPage.listen(this->Config.Metrics)
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
      .with("callers", this->Config.Callers.toText())
      .with("inner", this->Config.Inner.toText());

  this->Io.run();
  LogLine(LogLevel::Info, "daemon", "stopped");
  return 0;
}

void MeshDaemon::applyConfiguration() {
  const ConfigurationPtr &InForce = this->View.configuration();
  if (!InForce) {
    return;
  }

  HttpLimits Limits = limitsOf(this->Config);
  Limits.MaxHeaderBytes = InForce->Limits.HeaderBytes;
  Limits.MaxBodyBytes = InForce->Limits.BodyBytes;
  Limits.IdleTimeout =
      std::chrono::ceil<std::chrono::milliseconds>(InForce->Limits.IdleTimeout);
  this->Callers.setLimits(Limits);

  // Daemons add one header of their own and keep connections longer.
  Limits.MaxHeaderBytes += 1024;
  Limits.IdleTimeout = std::chrono::seconds(60);
  this->Inner.setLimits(Limits);
}

void MeshDaemon::onServerChanged() {
  if (this->Server.known()) {
    this->Sync.setOwnRow(this->Server.toRow());
  }
}

std::vector<Address> MeshDaemon::relayPeers() const {
  std::vector<Address> Near;
  std::vector<Address> Far;
  for (const auto &[Name, Row] : this->View.instances()) {
    if (Name != this->Config.Instance) {
      (Row.Region == this->Config.Region ? Near : Far).push_back(Row.Inner);
    }
  }
  Near.insert(Near.end(), Far.begin(), Far.end());
  return Near;
}

HttpResponse MeshDaemon::serveInner(HttpRequest &Request, CallerWatch &Watch,
                                    const asio::yield_context &Yield) {
  if (StorePath::isRelayCall(Request)) {
    return this->Path.relay(Request, Yield);
  }
  if (auto Told = this->Views.handle(Request)) {
    return std::move(*Told);
  }
  if (auto Load = OfferClient::parseOffer(Request)) {
    return OfferClient::makeResponse(
        this->Keeper.onOffer(*Load, BootClock::now()));
  }
  return this->Requests.servePeer(Request, Watch, Yield);
}

bool MeshDaemon::isReady() const {
  return this->View.configuration() && this->View.hasReadBothTables() &&
         !this->StoppingSince;
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
  const ConfigurationPtr &InForce = this->View.configuration();
  this->Counters.setLoad(this->Way.load());
  this->Counters.setConfiguration(InForce ? InForce->Version : 0);
  this->Counters.setInstances(this->View.instances().size());

  HttpResponse Response(http::status::ok, 11);
  Response.set(http::field::content_type, "text/plain; version=0.0.4");
  Response.body() = this->Counters.toText();
  return Response;
}

bool MeshDaemon::isKeyed() const {
  const ConfigurationPtr &InForce = this->View.configuration();
  return InForce && InForce->isKeyed(this->Server.service());
}

void MeshDaemon::tick() {
  TimePoint Now = BootClock::now();
  if (this->Way.load().Waiting > 0) {
    this->Way.expireWaiting();
  }
  if (this->isKeyed()) {
    this->Sync.followKeys();
    this->Keeper.setLoad(this->Way.wantedShare(Now));
    this->Keeper.tick(Now);
  }
  this->Ticker.expires_after(KeeperTick);
  this->Ticker.async_wait([this](const boost::system::error_code &Error) {
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
        } else if (!this->StoppingSince) {
          this->beginStop();
        }
        this->awaitSignal();
      });
}

void MeshDaemon::reload() {
  std::ifstream File(this->SettingsPath);
  std::stringstream Text;
  Text << File.rdbuf();
  auto Fresh = parseMeshSettings(Text.str(), this->SettingsPath);
  if (!File || !Fresh.ok()) {
    LogLine(LogLevel::Warning, "daemon", "reload_refused")
        .with("path", this->SettingsPath)
        .with("reason", File ? std::string(Fresh.status().message())
                             : std::string("the file cannot be read"));
    return;
  }
  setLogLevel(Fresh->LogLevel);
  LogLine(LogLevel::Info, "daemon", "reloaded")
      .with("log_level", Fresh->LogLevel);
}

void MeshDaemon::beginStop() {
  TimePoint Now = BootClock::now();
  this->StoppingSince = Now;
  this->BusyAt = Now;
  this->Requests.beginStop();
  this->Callers.disableKeepAlive();
  this->Inner.disableKeepAlive();
  LogLine(LogLevel::Info, "daemon", "stop_begun")
      .with("in_flight",
            static_cast<long long>(this->Callers.activeRequestCount()));
  this->checkStopped();
}

void MeshDaemon::checkStopped() {
  TimePoint Now = BootClock::now();
  bool Busy =
      this->Callers.activeRequestCount() + this->Inner.activeRequestCount() > 0;
  if (Busy) {
    this->BusyAt = Now;
  }

  Duration Age = Now - *this->StoppingSince;
  if (Age >= NoticeTime) {
    this->Requests.refuseAll();
  }
  bool Idle = Age >= NoticeTime && Now - this->BusyAt >= IdleBeforeEnd;
  if (Idle) {
    this->Callers.drain();
  }
  bool Ended = Idle && this->Drained && this->Callers.connectionCount() == 0;
  if (Ended || Age >= this->Config.StopTime - EndMargin) {
    this->Io.stop();
    return;
  }
  this->Drained = Idle;
  this->StopTimer.expires_after(StopTick);
  this->StopTimer.async_wait([this](const boost::system::error_code &Error) {
    if (!Error) {
      this->checkStopped();
    }
  });
}

// KeyKeeperActions

void MeshDaemon::commitLease(const TableTransaction &Write) {
  TimePoint SentAt = BootClock::now();
  this->Rows->commit(Write, [this, SentAt](const StoreCommit &Commit) {
    this->Keeper.onLeaseCommit(Commit, SentAt, BootClock::now());
  });
}

void MeshDaemon::commitMap(const TableTransaction &Write) {
  this->Rows->commit(Write, [this, Write](const StoreCommit &Commit) {
    if (Commit.Result.Outcome == CommitOutcome::Committed) {
      StoreRows Written;
      Written.Rows = writtenRows(Write, Commit.Result.Version).Rows;
      this->View.apply(Written);
    } else if (!Commit.Current.empty()) {
      StoreRows Current;
      Current.Rows = Commit.Current;
      this->View.apply(Current);
    }
    this->Keeper.onMapCommit(Commit, BootClock::now());
  });
}

void MeshDaemon::readLeases() {
  TimePoint SentAt = BootClock::now();
  this->Rows->readTable(
      tables::Leases, [this, SentAt](const std::optional<StoreRows> &Read) {
        this->Keeper.onLeasesRead(Read, SentAt, BootClock::now());
      });
}

void MeshDaemon::readKeys() { this->Sync.readKeys(); }

void MeshDaemon::sendOffer(const InstanceId &Receiver, double Load) {
  const InstanceRow *Row = this->View.findInstance(Receiver);
  if (!Row) {
    asio::post(this->Io, [this, Receiver] {
      this->Keeper.onOfferResponse(Receiver, std::nullopt, BootClock::now());
    });
    return;
  }
  this->Offers.send(
      Row->Inner, Load,
      [this, Receiver](const std::optional<OfferResponse> &Answer) {
        this->Keeper.onOfferResponse(Receiver, Answer, BootClock::now());
      });
}

void MeshDaemon::notifyOwners(const std::set<InstanceId> &Owners) {
  auto Row = this->View.keyMapRow(this->Server.service());
  for (const InstanceId &Owner : Owners) {
    const InstanceRow *Known = this->View.findInstance(Owner);
    if (Row && Known) {
      this->Views.pushTo(*Row, Known->Inner);
    }
  }
}

void MeshDaemon::askOwner(const std::string &Service) {
  std::vector<Address> Near;
  std::vector<Address> Far;
  for (const auto &[Name, Row] : this->View.instances()) {
    bool Fits = Row.Service == Service && Row.State == ServerState::Ready &&
                Name != this->Config.Instance;
    if (Fits) {
      (Row.Region == this->Config.Region ? Near : Far).push_back(Row.Inner);
    }
  }

  const std::vector<Address> &Owners = Near.empty() ? Far : Near;
  if (!Owners.empty()) {
    this->Views.pullFrom(Owners[this->NextAsked++ % Owners.size()]);
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
  return MeshDaemon(Config, SettingsPath, Adapters).run();
}

} // namespace hemlockspar
