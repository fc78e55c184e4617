#include "review/harness-2/Fleet.h"

#include "core/Json.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <spawn.h>
#include <sys/wait.h>

extern char **environ;

namespace review {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using hemlockspar::Address;
using hemlockspar::HttpRequest;

namespace {

constexpr std::uint16_t StorePort = 8627;
constexpr std::uint16_t OutboundPort = 8629;
constexpr std::uint16_t ReadyPort = 8625;
constexpr std::uint16_t ControlPort = 8620;
constexpr std::uint16_t InnerPort = 7600;
constexpr std::uint16_t ServerPort = 8628;
constexpr std::uint16_t ProxyPort = 8080;
constexpr std::uint32_t KeyCount = 65536;
constexpr auto StartTimeout = Milliseconds(30000);
constexpr auto PollInterval = Milliseconds(20);
constexpr auto CallTimeout = Milliseconds(10000);
constexpr char KeyedService[] = "menus";

/// Parts of the loopback network.
constexpr int StorePart = 0;
constexpr int MachinePart = 1;
constexpr int PeerProxyPart = 2;
constexpr int StoreProxyPart = 3;
constexpr int ControlPart = 4;

std::string routeText(const std::string &Name, const std::string &Service,
                      const std::string &Kind) {
  return R"({"resource_kind":"routes","metadata":{"name":"r-)" + Name +
         R"("},"spec":{"hostname":"spa.example","prefix":"/)" + Name +
         R"(/","route_kind":")" + Kind +
         R"(","timeout":"3000ms","target_latency":"1000ms","priority":1,)" +
         R"("service":")" + Service + R"(","max_attempts":2}})";
}

std::string serviceText(const std::string &Name) {
  bool Keyed = Name == KeyedService;
  return R"({"resource_kind":"services","metadata":{"name":")" + Name +
         R"("},"spec":{"health_path":"/healthz","max_connections":110,)" +
         R"("protocol":"h1","tls":false)" +
         (Keyed ? R"(,"sharded":true,"warmup":"2s","grants":"heartbeat")"
                : "") +
         "}}";
}

bool isFree(const Address &At) {
  asio::io_context Io;
  boost::system::error_code Error;
  auto Endpoint = At.toEndpoint(Error);
  asio::ip::tcp::acceptor Probe(Io);
  Probe.open(Endpoint.protocol(), Error);
  if (!Error) {
    Probe.bind(Endpoint, Error);
  }
  return !Error;
}

} // namespace

Fleet::Fleet(Settings Own, Record &Out)
    : Own(std::move(Own)), Out(Out),
      KeepRunning(asio::make_work_guard(this->Io)),
      Store(std::make_unique<hemlockspar::FakePlatformStore>(this->Io)),
      Proxy(std::make_unique<hemlockspar::FaultProxy>(this->Io)), Owners(Out) {
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  this->Directory = mkdtemp(Pattern.data());
  std::random_device Random;
  do {
    this->Network = 20 + static_cast<int>(Random() % 220);
  } while (!isFree(this->at(StorePart, 0, StorePort)) ||
           !isFree(this->at(MachinePart, 0, OutboundPort)));
}

Fleet::~Fleet() {
  this->Ending = true;
  if (this->Sampler.joinable()) {
    this->Sampler.join();
  }
  for (pid_t Pid : this->Daemons) {
    ::kill(Pid, SIGKILL);
    waitpid(Pid, nullptr, 0);
  }
  this->Backends.clear();
  this->Io.stop();
  if (this->IoThread.joinable()) {
    this->IoThread.join();
  }
  if (!std::getenv("REVIEW_KEEP")) {
    std::filesystem::remove_all(this->Directory);
  }
}

Address Fleet::at(int Part, int Index, std::uint16_t Port) const {
  return {"127." + std::to_string(this->Network) + "." + std::to_string(Part) +
              "." + std::to_string(Index + 1),
          Port};
}

Address Fleet::serverAddress(int Index) const {
  return this->at(MachinePart, Index, ServerPort);
}

std::string Fleet::pathOf(int Index, const std::string &Suffix) const {
  return this->Directory + "/machine-" + std::to_string(Index) + Suffix;
}

void Fleet::declare(int Version) {
  std::string Text =
      R"({"version":"r)" + std::to_string(Version) + R"(","resources":[)" +
      routeText("menus", KeyedService, "idempotent") + "," +
      routeText("bookings", "bookings", "non_idempotent") + "," +
      routeText("guests", "bookings", "idempotent") + "," +
      serviceText(KeyedService) + "," + serviceText("bookings") +
      R"(,{"resource_kind":"limits","metadata":{},"spec":{)" +
      R"("max_header_bytes":16384,"max_body_bytes":67108864,)" +
      R"("header_timeout":"3000ms","idle_timeout":"15000ms"}}]})";
  this->Store->put("op", "config", Text);
}

bool Fleet::openStore() {
  bool Open = true;
  for (int Index = 0; Index < this->count(); ++Index) {
    Open = Open && this->Store
                       ->listen("machine-" + std::to_string(Index),
                                this->at(StorePart, Index, StorePort))
                       .ok();
  }
  return Open;
}

bool Fleet::openProxy() {
  bool Open =
      this->Proxy->listenForControl(this->at(ControlPart, 0, ProxyPort)).ok();
  for (int Index = 0; Index < this->count(); ++Index) {
    Open = Open &&
           this->Proxy
               ->forward(this->at(PeerProxyPart, Index, InnerPort),
                         this->at(MachinePart, Index, InnerPort))
               .ok() &&
           this->Proxy
               ->forward(this->at(StoreProxyPart, Index, StorePort),
                         this->at(StorePart, Index, StorePort))
               .ok();
  }
  return Open;
}

bool Fleet::openBackends() {
  for (int Index = 0; Index < this->count(); ++Index) {
    Backend::Settings Terms;
    Terms.Id = "i-server" + std::to_string(Index);
    Terms.Service = this->Own.Services[static_cast<std::size_t>(Index)];
    Terms.Zone = "zone-" + std::to_string(Index % 2);
    Terms.At = this->serverAddress(Index);
    Terms.Daemon = this->at(MachinePart, Index, ControlPort);
    Terms.Keyed = Terms.Service == KeyedService;
    if (this->Own.Adjust) {
      this->Own.Adjust(Terms);
    }
    this->Backends.push_back(
        std::make_unique<Backend>(Terms, this->Begun, this->Owners, this->Out));
    if (!this->Backends.back()->start()) {
      return false;
    }
  }
  return true;
}

void Fleet::writeSettings(int Index) const {
  std::string Zone = "zone-" + std::to_string(Index % 2);
  std::string Host = this->at(MachinePart, Index, InnerPort).Host;
  auto Machine = [&](std::uint16_t Port) {
    return "\"" + Host + ":" + std::to_string(Port) + "\"\n";
  };
  std::ofstream File(this->pathOf(Index, ".yaml"));
  File << "instance: machine-" << Index
       << "\nregion: region\ndata_center: " << Zone
       << "\nlink_mbps: 1000\nmemory_mb: 260\ndescriptors: 4100\n"
       << "stop_time: 6s\nlisten:\n  callers: " << Machine(OutboundPort)
       << "  readiness: " << Machine(ReadyPort)
       << "  reports: " << Machine(ControlPort)
       << "  inner: " << Machine(InnerPort) << "  advertised: \""
       << this->at(PeerProxyPart, Index, InnerPort).toText()
       << "\"\nstore:\n  address: \""
       << this->at(StoreProxyPart, Index, StorePort).toText()
       << "\"\nserver:\n  address: " << Machine(ServerPort)
       << "  service: " << this->Own.Services[static_cast<std::size_t>(Index)]
       << "\n  heartbeat: 870ms\n  grants: heartbeat\n  leave_time: 2500ms\n"
       << "  longest_hold: 10000ms\nrepeats:\n  share: 0.2\n  window: 10s\n"
       << "  allowance: 56\n";
}

void Fleet::startDaemon(int Index) {
  this->writeSettings(Index);
  std::string Program = "target/daemon/hemlockspard";
  std::string Named = "HEMLOCKSPAR_SETTINGS=" + this->pathOf(Index, ".yaml");
  std::vector<char *> Arguments = {Program.data(), nullptr};
  std::vector<char *> Variables = {Named.data()};
  for (char **Entry = environ; *Entry != nullptr; ++Entry) {
    Variables.push_back(*Entry);
  }
  Variables.push_back(nullptr);

  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_addopen(&Actions, 1,
                                   this->pathOf(Index, ".log").c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&Actions, 1, 2);
  posix_spawn_file_actions_addclosefrom_np(&Actions, 3);
  pid_t Pid = 0;
  if (posix_spawn(&Pid, Program.c_str(), &Actions, nullptr, Arguments.data(),
                  Variables.data()) == 0) {
    this->Daemons.push_back(Pid);
  }
  posix_spawn_file_actions_destroy(&Actions);
}

bool Fleet::isReady(int Index) {
  hemlockspar::ExchangeResult Result = this->Client.get(
      this->at(MachinePart, Index, ReadyPort), "/api/readyz", CallTimeout);
  return Result.Outcome == hemlockspar::ExchangeOutcome::Answered &&
         Result.Response.result() == http::status::ok;
}

bool Fleet::start() {
  this->declare(1);
  if (!this->openStore() || !this->openProxy() || !this->openBackends()) {
    this->Out.write("an address is taken");
    return false;
  }
  this->IoThread = std::thread([this] { this->Io.run(); });
  this->Sampler = std::thread([this] {
    while (!this->Ending) {
      std::this_thread::sleep_for(PollInterval);
      this->Owners.sample();
    }
  });
  for (int Index = 0; Index < this->count(); ++Index) {
    this->startDaemon(Index);
  }
  bool Keyed = std::find(this->Own.Services.begin(), this->Own.Services.end(),
                         KeyedService) != this->Own.Services.end();
  bool Started = this->waitUntil(
      [&] {
        std::uint32_t Keys = 0;
        bool Ready = true;
        for (int Index = 0; Index < this->count(); ++Index) {
          Keys += this->backend(Index).heldKeys();
          Ready = Ready && this->isReady(Index);
        }
        return Ready && (!Keyed || Keys == KeyCount);
      },
      StartTimeout);
  this->Out.write(Started ? "all is ready" : "not ready in time");
  return Started;
}

bool Fleet::areAllReady() {
  for (int Index = 0; Index < this->count(); ++Index) {
    if (!this->isReady(Index)) {
      return false;
    }
  }
  return true;
}

void Fleet::restartDaemons(Milliseconds Down,
                           const std::function<void()> &Meanwhile) {
  for (pid_t Pid : this->Daemons) {
    ::kill(Pid, SIGKILL);
  }
  for (pid_t Pid : this->Daemons) {
    waitpid(Pid, nullptr, 0);
  }
  this->Daemons.clear();
  this->Out.write("all daemons are killed");
  Meanwhile();
  std::this_thread::sleep_for(Down);
  for (int Index = 0; Index < this->count(); ++Index) {
    this->startDaemon(Index);
  }
  this->Out.write("all daemons are started again");
}

void Fleet::loseBackend(int Index) {
  std::string Id = this->backend(Index).id();
  this->backend(Index).stop();
  this->Owners.update(Id, {});
  this->Out.write(Id + " has crashed for good");
}

Answer Fleet::send(hemlockspar::BlockingClient &Caller, int Index,
                   const std::string &Method, const std::string &Path,
                   std::optional<std::uint32_t> Key) {
  std::string Id = "request-" + std::to_string(++this->LastRequest);
  HttpRequest Request(http::string_to_verb(Method), Path, 11);
  Request.set(http::field::host, "spa.example");
  Request.set("Request-Id", Id);
  Request.set("Deadline-Ms", "4000");
  if (Key) {
    Request.set("Shard-Key", std::to_string(*Key));
  }
  // The system replaces what a consumer states here.
  Request.set("Caller-Service", "a-consumer");
  if (Method == "POST") {
    Request.body() = "a booking";
  }
  this->Out.write("consumer on machine-" + std::to_string(Index) + " sends " +
                  Method + " " + Path + " " + Id);
  hemlockspar::ExchangeResult Result = Caller.exchange(
      this->at(MachinePart, Index, OutboundPort), Request, CallTimeout);
  Answer Seen;
  if (Result.Outcome == hemlockspar::ExchangeOutcome::Answered) {
    Seen = {Result.Response.result_int(),
            hemlockspar::headerValue(Result.Response, "Server-Stamp"),
            Result.Response.body()};
  }
  this->Out.write(Id + " is answered " + std::to_string(Seen.Status) + " " +
                  Seen.Stamp);
  return Seen;
}

unsigned Fleet::report(int Index, const std::string &Id,
                       const std::string &Body) {
  HttpRequest Request(http::verb::put, "/api/instances/" + Id, 11);
  Request.set(http::field::host, "daemon");
  Request.set(http::field::content_type, "application/json");
  Request.body() = Body;
  this->Out.write("another writer reports to machine-" + std::to_string(Index) +
                  ": " + Body);
  hemlockspar::ExchangeResult Result = this->Client.exchange(
      this->at(MachinePart, Index, ControlPort), Request, CallTimeout);
  this->Out.write("its report is answered " +
                  std::to_string(Result.Response.result_int()) + " " +
                  Result.Response.body());
  return Result.Response.result_int();
}

void Fleet::setLink(const std::string &From, const std::string &To, bool Cut) {
  Json::Value Fields;
  Fields["from"] = From;
  Fields["to"] = To;
  Fields["reset"] = Cut;
  HttpRequest Request(http::verb::put, "/links", 11);
  Request.set(http::field::host, "proxy");
  Request.body() = hemlockspar::writeJson(Fields);
  this->Client.exchange(this->at(ControlPart, 0, ProxyPort), Request,
                        CallTimeout);
}

void Fleet::setCut(int Index, bool Cut) {
  std::string Machine = this->at(MachinePart, Index, InnerPort).Host;
  for (int Other = 0; Other < this->count(); ++Other) {
    if (Other != Index) {
      std::string Peer = this->at(MachinePart, Other, InnerPort).Host;
      this->setLink(Machine, Peer, Cut);
      this->setLink(Peer, Machine, Cut);
    }
  }
  this->setLink(Machine, this->at(StorePart, Index, StorePort).Host, Cut);
  this->Out.write("machine-" + std::to_string(Index) +
                  (Cut ? " is cut off" : " is back"));
}

int Fleet::holderOf(std::uint32_t Key) const {
  for (std::size_t Index = 0; Index < this->Backends.size(); ++Index) {
    if (this->Backends[Index]->holds(Key)) {
      return static_cast<int>(Index);
    }
  }
  return -1;
}

bool Fleet::waitUntil(const std::function<bool()> &Condition,
                      Milliseconds Limit) {
  Clock::time_point End = Clock::now() + Limit;
  while (!Condition()) {
    if (Clock::now() >= End) {
      return false;
    }
    std::this_thread::sleep_for(PollInterval);
  }
  return true;
}

bool isTroubled() {
  const char *Value = std::getenv("TROUBLE");
  return !Value || std::string(Value) != "0";
}

int finish(Record &Out, bool Broken, const std::string &Summary) {
  std::string Text = (Broken ? "BROKEN: " : "held: ") + Summary;
  Out.write(Text);
  std::cout << Text << "\n";
  return Broken ? 1 : 0;
}

} // namespace review
