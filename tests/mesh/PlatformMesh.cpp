#include "tests/mesh/PlatformMesh.h"

#include "core/Json.h"

#include <absl/strings/str_cat.h>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>

extern char **environ;

namespace hemlockspar {

namespace {

constexpr std::uint16_t CallerPort = 8080;
constexpr std::uint16_t ReadinessPort = 8081;
constexpr std::uint16_t ReportPort = 8082;
constexpr std::uint16_t PeerPort = 8083;
constexpr std::uint16_t ServerPort = 8090;
constexpr std::uint16_t ServerProxyPort = 8091;
constexpr std::uint16_t MetricsPort = 8084;
constexpr std::uint16_t StorePort = 7000;
/// Source address of connections that daemons open to backend servers.
constexpr char DefaultHost[] = "127.0.0.1";
constexpr char StartedLine[] = "daemon event=started";
constexpr auto RequestTimeout = std::chrono::seconds(10);
constexpr auto StoreOutage = std::chrono::milliseconds(500);
constexpr auto PollInterval = std::chrono::milliseconds(20);

std::string routeText(const std::string &Name, const std::string &Service,
                      const std::string &Kind, const std::string &Homes) {
  return absl::StrCat(
      R"({"resource_kind":"routes","metadata":{"name":"r-)", Name,
      R"("},"spec":{"hostname":"spa.example","prefix":"/)", Name,
      R"(/","route_kind":")", Kind,
      R"(","timeout":"8000ms","target_latency":"800ms","priority":1,)",
      R"("service":")", Service, R"(","max_attempts":3,"home_regions":[)",
      Homes, "]}}");
}

std::string serviceText(const std::string &Name, bool Keyed,
                        double ColdRequestsPerSecond) {
  return absl::StrCat(
      R"({"resource_kind":"services","metadata":{"name":")", Name,
      R"("},"spec":{"max_connections":100,"sharded":)",
      Keyed ? "true" : "false", R"(,"warmup":"2s","health_path":"/healthz",)",
      R"("cold_start":"3s","cold_per_s":)", ColdRequestsPerSecond, "}}");
}

} // namespace

PlatformMesh::PlatformMesh(int Number, std::vector<std::string> ServiceNames,
                           bool Proxied)
    : Number(Number), Proxied(Proxied), Services(std::move(ServiceNames)),
      KeepRunning(boost::asio::make_work_guard(Io)),
      StandInStore(std::make_unique<FakePlatformStore>(Io)) {
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "platform-XXXXXX").string();
  this->Directory = mkdtemp(Pattern.data());
}

PlatformMesh::~PlatformMesh() {
  for (const auto &[Index, Pid] : this->Daemons) {
    ::kill(Pid, SIGKILL);
    waitpid(Pid, nullptr, 0);
  }
  this->Io.stop();
  if (this->IoThread.joinable()) {
    this->IoThread.join();
  }
  if (!std::getenv("MESH_KEEP")) {
    std::filesystem::remove_all(this->Directory);
  }
}

std::string PlatformMesh::hostOf(int Index) const {
  return absl::StrCat("127.", this->Number, ".1.", Index + 1);
}

Address PlatformMesh::storeAddress(int Index) const {
  return {absl::StrCat("127.", this->Number, ".0.", Index + 1), StorePort};
}

Address PlatformMesh::callerAddress(int Index) const {
  return {this->hostOf(Index), CallerPort};
}

Address PlatformMesh::peerAddress(int Index) const {
  return {this->hostOf(Index), PeerPort};
}

Address PlatformMesh::peerProxyAddress(int Index) const {
  return {absl::StrCat("127.", this->Number, ".2.", Index + 1), PeerPort};
}

Address PlatformMesh::storeProxyAddress(int Index) const {
  return {absl::StrCat("127.", this->Number, ".3.", Index + 1), StorePort};
}

Address PlatformMesh::serverProxyAddress(int Index) const {
  return {this->hostOf(Index), ServerProxyPort};
}

bool PlatformMesh::startProxy() {
  this->Proxy = std::make_unique<FaultProxy>(this->Io);
  bool Open = this->Proxy->listenForControl(this->proxyControlAddress()).ok();
  for (int Index = 0; Index < this->count(); ++Index) {
    Open =
        Open &&
        this->Proxy
            ->forward(this->peerProxyAddress(Index),
                      {this->hostOf(Index), PeerPort})
            .ok() &&
        this->Proxy
            ->forward(this->storeProxyAddress(Index), this->storeAddress(Index))
            .ok() &&
        (!this->ServersProxied ||
         this->Proxy
             ->forward(this->serverProxyAddress(Index),
                       {this->hostOf(Index), ServerPort})
             .ok());
  }
  return Open;
}

Address PlatformMesh::proxyControlAddress() const {
  return {absl::StrCat("127.", this->Number, ".4.1"), CallerPort};
}

void PlatformMesh::setLink(int From, int To, const LinkFaults &Faults) {
  this->setFaults(this->hostOf(From),
                  To < 0 ? this->storeAddress(From).Host : this->hostOf(To),
                  Faults);
}

void PlatformMesh::setServerLink(int Index, const LinkFaults &Faults) {
  this->setFaults(DefaultHost, this->hostOf(Index), Faults);
}

void PlatformMesh::setFaults(const std::string &From, const std::string &To,
                             const LinkFaults &Faults) {
  Json::Value Fields;
  Fields["from"] = From;
  Fields["to"] = To;
  Fields["cut_out"] = Faults.DropOutbound;
  Fields["cut_back"] = Faults.DropInbound;
  Fields["reset"] = Faults.Reset;
  Fields["stall_open"] = Faults.StallOpen;
  Fields["delay_ms"] = Json::UInt64(Faults.DelayMs);
  Fields["max_back_bytes"] = Json::UInt64(Faults.MaxInboundBytes);
  Fields["back_rate"] = Json::UInt64(Faults.InboundRate);
  Fields["back_head"] = nameOf(Faults.InboundHead);
  Fields["broken_off"] = Faults.BrokenOffResponse;
  HttpRequest Request(http::verb::put, "/links", 11);
  Request.set(http::field::host, "proxy");
  Request.body() = writeJson(Fields);
  this->Client.exchange(this->proxyControlAddress(), Request, RequestTimeout);
}

std::string PlatformMesh::path(const std::string &File) const {
  return this->Directory + "/" + File;
}

std::string PlatformMesh::logOf(int Index) const {
  std::ifstream File(this->path(absl::StrCat("d", Index, ".log")));
  std::stringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

void PlatformMesh::declare(std::uint64_t Version, const std::string &Extra) {
  auto Declare = [this](const std::string &Name, const std::string &Service,
                        const std::string &Kind) {
    return routeText(Name, Service, Kind, this->HomesOfRoute[Name]);
  };
  std::string Routes = Declare("menus", "menus", "idempotent") + "," +
                       Declare("bookings", "bookings", "non_idempotent") + "," +
                       Declare("lists", "bookings", "idempotent");
  if (!Extra.empty()) {
    Routes += "," + Declare(Extra, "bookings", "idempotent");
  }
  for (int Index = 0; Index < this->FurtherRoutes; ++Index) {
    Routes +=
        "," + Declare(absl::StrCat("further", Index), "bookings", "idempotent");
  }
  this->StandInStore->put(
      "op", "config",
      absl::StrCat(
          R"({"version":"r)", Version, R"(","resources":[)", Routes, ",",
          serviceText("menus", true, this->ColdRequestsPerSecond), ",",
          serviceText("bookings", false, this->ColdRequestsPerSecond),
          R"(,{"resource_kind":"limits","metadata":{},"spec":{)",
          R"("max_header_bytes":16384,"max_body_bytes":)", this->MaxBodyBytes,
          ",", R"("header_timeout":"3000ms","idle_timeout":"15000ms"}}]})"));
}

void PlatformMesh::restoreStore(const std::function<void()> &Lost,
                                const std::function<void()> &Rewritten) {
  this->StandInStore->saveCopy();
  Lost();
  PlatformStoreFaults Away;
  Away.RefusedCallers = {"*"};
  this->StandInStore->setFaults(Away);
  this->StandInStore->restoreCopy();
  Rewritten();
  std::this_thread::sleep_for(StoreOutage);
  this->StandInStore->setFaults({});
}

void PlatformMesh::writeSettings(int Index) const {
  std::string Host = this->hostOf(Index);
  std::ofstream File(this->path(absl::StrCat("d", Index, ".yaml")));
  File << "instance: d" << Index << "\nregion: r" << Index % 2
       << "\ndata_center: r" << Index % 2 << "-a\nstop_time: 6s\n"
       << "link_mbps: " << this->LinkMbps << "\n"
       << "listen:\n  callers: " << Host << ":" << CallerPort
       << "\n  readiness: " << Host << ":" << ReadinessPort
       << "\n  reports: " << Host << ":" << ReportPort << "\n  inner: " << Host
       << ":" << PeerPort << "\n  advertised: "
       << (this->Proxied ? this->peerProxyAddress(Index)
                         : Address{Host, PeerPort})
              .toText()
       << "\n  metrics_port: " << MetricsPort << "\nstore:\n  address: "
       << (this->Proxied ? this->storeProxyAddress(Index)
                         : this->storeAddress(Index))
              .toText()
       << "\nserver:\n  address: " << Host << ":" << ServerPort
       << "\n  service: " << this->Services[static_cast<std::size_t>(Index)]
       << "\n  grants: " << (this->GrantsByCall ? "rpc" : "heartbeat")
       << "\n  heartbeat: 300ms\nrepeats:\n  allowance: 1000\n"
       << this->MoreSettings;
}

void PlatformMesh::startDaemon(int Index) {
  this->writeSettings(Index);
  const char *Root = std::getenv("HEMLOCKSPAR_BIN");
  std::string Program =
      std::string(Root ? Root : "build") + "/daemon/hemlockspard";
  std::string Settings =
      "--settings=" + this->path(absl::StrCat("d", Index, ".yaml"));
  std::vector<char *> Arguments = {Program.data(), Settings.data(), nullptr};

  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_addopen(
      &Actions, 1, this->path(absl::StrCat("d", Index, ".log")).c_str(),
      O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&Actions, 1, 2);

  // Daemons must not inherit the sockets of the fake servers.
  posix_spawn_file_actions_addclosefrom_np(&Actions, 3);
  pid_t Pid = 0;
  posix_spawn(&Pid, Program.c_str(), &Actions, nullptr, Arguments.data(),
              environ);
  posix_spawn_file_actions_destroy(&Actions);
  this->Daemons[Index] = Pid;
  ++this->Starts[Index];
}

bool PlatformMesh::hasStarted(int Index) const {
  std::string Log = this->logOf(Index);
  int Count = 0;
  for (std::size_t Position = Log.find(StartedLine);
       Position != std::string::npos;
       Position = Log.find(StartedLine, Position + 1)) {
    ++Count;
  }
  return Count == this->Starts.at(Index);
}

void PlatformMesh::signalDaemon(int Index, int Signal) {
  ::kill(this->Daemons.at(Index), Signal);
  if (Signal == SIGKILL) {
    waitpid(this->Daemons.at(Index), nullptr, 0);
    this->Daemons.erase(Index);
  }
}

int PlatformMesh::waitForExit(int Index) {
  int Status = 0;
  waitpid(this->Daemons.at(Index), &Status, 0);
  this->Daemons.erase(Index);
  return WIFEXITED(Status) ? WEXITSTATUS(Status) : -1;
}

bool PlatformMesh::startServers() {
  this->declare(1);
  if (this->Proxied && !this->startProxy()) {
    return false;
  }

  for (int Index = 0; Index < int(this->Services.size()); ++Index) {
    std::string Host = this->hostOf(Index);
    if (!this->StandInStore
             ->listen(absl::StrCat("d", Index), this->storeAddress(Index))
             .ok()) {
      return false;
    }
    FakePlatformServer::Config Terms;
    Terms.Id = absl::StrCat("s", Index);
    Terms.Service = this->Services[static_cast<std::size_t>(Index)];
    Terms.DataCenter = absl::StrCat("r", Index % 2, "-a");
    Terms.At = {Host, ServerPort};
    if (this->ServersProxied) {
      Terms.Advertised = this->serverProxyAddress(Index);
    }
    Terms.Daemon = {Host, ReportPort};
    Terms.GrantsByCall = this->GrantsByCall;
    this->Servers.push_back(
        std::make_unique<FakePlatformServer>(this->Io, Terms));
    this->Servers.back()->setOwnershipChecker(this->Ledger);
    if (!this->Servers.back()->start().ok()) {
      return false;
    }
    this->startDaemon(Index);
  }
  this->IoThread = std::thread([this] { this->Io.run(); });
  return true;
}

bool PlatformMesh::start() {
  return this->startServers() && this->waitUntil([this] {
    for (int Index = 0; Index < int(this->Services.size()); ++Index) {
      if (!this->isReady(Index)) {
        return false;
      }
    }
    return this->allKeysHeld() &&
           this->send(0, "/lists/warm").Response.result() == http::status::ok;
  });
}

ExchangeResult
PlatformMesh::send(int Index, const std::string &Path,
                   const std::map<std::string, std::string> &Headers,
                   http::verb Method, const std::string &Body) {
  HttpRequest Request(Method, Path, 11);
  Request.body() = Body;
  Request.set(http::field::host, "spa.example");
  Request.set("Request-Id", absl::StrCat("q", ++this->LastRequest));
  Request.set("Deadline-Ms", "8000");
  for (const auto &[Name, Value] : Headers) {
    Request.set(Name, Value);
  }
  return this->Client.exchange({this->hostOf(Index), CallerPort}, Request,
                               RequestTimeout);
}

ExchangeResult PlatformMesh::sendKey(int Index, std::uint32_t Key) {
  return this->send(Index, absl::StrCat("/menus/", Key),
                    {{"Shard-Key", std::to_string(Key)}});
}

ExchangeResult PlatformMesh::report(int Index, const std::string &Id,
                                    const std::string &Body) {
  HttpRequest Request(http::verb::put, "/api/instances/" + Id, 11);
  Request.set(http::field::host, "daemon");
  Request.body() = Body;
  return this->Client.exchange({this->hostOf(Index), ReportPort}, Request,
                               RequestTimeout);
}

ExchangeResult PlatformMesh::leave(int Index, const std::string &Id) {
  HttpRequest Request(http::verb::delete_, "/api/instances/" + Id, 11);
  Request.set(http::field::host, "daemon");
  return this->Client.exchange({this->hostOf(Index), ReportPort}, Request,
                               RequestTimeout);
}

bool PlatformMesh::isReady(int Index) {
  ExchangeResult Result = this->Client.get({this->hostOf(Index), ReadinessPort},
                                           "/api/readyz", RequestTimeout);
  return Result.Outcome == ExchangeOutcome::Answered &&
         Result.Response.result() == http::status::ok;
}

bool PlatformMesh::allKeysHeld() {
  std::uint32_t Count = 0;
  for (auto &Server : this->Servers) {
    Count += Server->heldKeyCount();
  }
  return Count == 65536;
}

int PlatformMesh::holderOf(std::uint32_t Key) {
  for (std::size_t Index = 0; Index < this->Servers.size(); ++Index) {
    if (this->Servers[Index]->holds(Key)) {
      return int(Index);
    }
  }
  return -1;
}

bool PlatformMesh::waitUntil(const std::function<bool()> &Condition,
                             std::chrono::seconds Limit) {
  auto End = std::chrono::steady_clock::now() + Limit;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() >= End) {
      return false;
    }
    std::this_thread::sleep_for(PollInterval);
  }
  return true;
}

} // namespace hemlockspar
