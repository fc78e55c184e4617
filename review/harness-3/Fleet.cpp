#include "review/harness-3/Fleet.h"

#include "core/Json.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <future>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <tuple>
#include <unistd.h>

extern char **environ;

namespace hemlockspar::review3 {

namespace asio = boost::asio;

namespace {

constexpr std::uint16_t CallerPort = 8629;
constexpr std::uint16_t ReadinessPort = 8625;
constexpr std::uint16_t ReportPort = 8620;
constexpr std::uint16_t PeerPort = 7600;
constexpr std::uint16_t MetricsPort = 9464;
constexpr std::uint16_t BackendPort = 8628;
constexpr std::uint16_t StorePort = 8627;
constexpr std::uint16_t ShiftedStorePort = 8626;

/// Longer than the longest wait for changes.
constexpr auto StoreCallTime = std::chrono::seconds(40);
constexpr auto RequestTime = std::chrono::seconds(4);
constexpr auto PollInterval = std::chrono::milliseconds(20);

std::string routeText(const std::string &Name, const std::string &Kind) {
  return absl::StrCat(
      R"({"resource_kind":"routes","metadata":{"name":"r-)", Name,
      R"("},"spec":{"hostname":"spa.example","prefix":"/)", Name,
      R"(/","route_kind":")", Kind,
      R"(","timeout":"3000ms","target_latency":"800ms","priority":1,)",
      R"("service":")", Name, R"(","max_attempts":3}})");
}

std::string serviceText(const std::string &Name, bool Keyed) {
  return absl::StrCat(
      R"({"resource_kind":"services","metadata":{"name":")", Name,
      R"("},"spec":{"max_connections":110,"sharded":)",
      Keyed ? "true" : "false",
      R"(,"warmup":"2s","health_path":"/healthz","cold_start":"3s"}})");
}

/// Returns a number N for which 127.N.0.1 and 127.N.1.1 are free, so that cases
/// can run beside one another.
int freeNetwork() {
  constexpr int FirstNetwork = 110;
  constexpr int NetworkCount = 140;
  asio::io_context Io;
  int Network = FirstNetwork;
  for (int Tries = 0; Tries < NetworkCount; ++Tries) {
    Network = FirstNetwork + (getpid() + Tries) % NetworkCount;
    boost::system::error_code Error;
    asio::ip::tcp::socket Store(Io);
    asio::ip::tcp::socket Peer(Io);
    for (auto [Socket, Host, Port] :
         {std::tuple(&Store, absl::StrCat("127.", Network, ".0.1"), StorePort),
          std::tuple(&Peer, absl::StrCat("127.", Network, ".1.1"), PeerPort)}) {
      Socket->open(asio::ip::tcp::v4(), Error);
      if (!Error) {
        Socket->bind({asio::ip::make_address(Host), Port}, Error);
      }
      if (Error) {
        break;
      }
    }
    if (!Error) {
      break;
    }
  }
  return Network;
}

} // namespace

EraShift::EraShift(asio::io_context &Io, Address Store, std::uint64_t Less)
    : Store(std::move(Store)), Less(Less), Client(Io, {}),
      Server(Io, HttpLimits(),
             [this](HttpRequest &Request, CallerWatch &Watch,
                    const asio::yield_context &Yield) {
               return this->pass(Request, Watch, Yield);
             }) {}

HttpResponse EraShift::pass(HttpRequest &Request, CallerWatch &Watch,
                            const asio::yield_context &Yield) {
  ExchangeOptions Bounds;
  Bounds.Deadline = BootClock::now() + StoreCallTime;
  Bounds.Watch = &Watch;
  ExchangeResult Exchange =
      this->Client.exchange(this->Store, Request, Bounds, Yield);
  if (Exchange.Outcome != ExchangeOutcome::Answered) {
    return HttpResponse(http::status::bad_gateway, 11);
  }
  auto Era = numericHeaderValue(Exchange.Response, "Store-Era");
  if (Era) {
    Exchange.Response.set("Store-Era", std::to_string(*Era - this->Less));
  }
  return std::move(Exchange.Response);
}

Fleet::Fleet(Options Chosen, Ledger &Book)
    : Chosen(std::move(Chosen)), Book(Book), Network(freeNetwork()),
      KeepRunning(asio::make_work_guard(Io)),
      StandInStore(std::make_unique<FakePlatformStore>(Io)) {
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  this->Directory = mkdtemp(Pattern.data());
}

Fleet::~Fleet() {
  for (const auto &Processes : {this->Daemons, this->BackendProcesses}) {
    for (const auto &[Index, Pid] : Processes) {
      ::kill(Pid, SIGKILL);
      waitpid(Pid, nullptr, 0);
    }
  }
  this->Io.stop();
  if (this->IoThread.joinable()) {
    this->IoThread.join();
  }
  if (!std::getenv("KEEP")) {
    std::filesystem::remove_all(this->Directory);
  }
}

std::string Fleet::hostOf(int Index) const {
  return absl::StrCat("127.", this->Network, ".1.", Index + 1);
}

bool Fleet::startStore() {
  Address At = {absl::StrCat("127.", this->Network, ".0.1"), StorePort};
  Address ShiftedAt = {At.Host, ShiftedStorePort};
  this->Shift =
      std::make_unique<EraShift>(this->Io, At, 1 - this->Chosen.FirstEra);
  bool Listening = this->StandInStore->listen("any", At).ok() &&
                   this->Shift->listen(ShiftedAt).ok();
  this->declare(1);
  this->IoThread = std::thread([this] { this->Io.run(); });
  return Listening;
}

void Fleet::declare(std::uint64_t Version) {
  this->StandInStore->put(
      "op", "config",
      absl::StrCat(
          R"({"version":"r)", Version, R"(","resources":[)",
          routeText("menus", "idempotent"), ",",
          routeText("bookings", "non_idempotent"), ",",
          serviceText("menus", true), ",", serviceText("bookings", false),
          R"(,{"resource_kind":"limits","metadata":{"name":"limits"},"spec":{)",
          R"("max_header_bytes":16384,"max_body_bytes":1000000,)",
          R"("header_timeout":"3000ms","idle_timeout":"15000ms"}}]})"));
}

void Fleet::writeSettings(int Index) const {
  std::string Host = this->hostOf(Index);
  std::ofstream File(absl::StrCat(this->Directory, "/d", Index, ".yaml"));
  File << "instance: sidecar-" << Index << "\nregion: r" << Index % 2
       << "\ndata_center: r" << Index % 2 << "-a\nlink_mbps: 1000.0\n"
       << "memory_mb: 260\ndescriptors: 4100\nstop_time: 6s\nlisten:\n"
       << "  callers: " << Host << ":" << CallerPort
       << "\n  readiness: " << Host << ":" << ReadinessPort
       << "\n  reports: " << Host << ":" << ReportPort << "\n  inner: " << Host
       << ":" << PeerPort << "\n  metrics_port: " << MetricsPort
       << "\nstore:\n  address: 127." << this->Network
       << ".0.1:" << ShiftedStorePort << "\nserver:\n  address: " << Host << ":"
       << BackendPort << "\n  service: "
       << this->Chosen.Services[static_cast<std::size_t>(Index)]
       << "\n  heartbeat: " << this->Chosen.Heartbeat.count()
       << "ms\n  grants: heartbeat\n  leave_time: 2500ms\n"
       << "  longest_hold: 10000ms\nrepeats:\n  share: 0.2\n  window: 10s\n"
       << "  allowance: 56\n";
}

template <typename Result>
Result Fleet::onIoThread(std::function<Result()> Call) {
  std::promise<Result> Done;
  asio::post(this->Io, [&] { Done.set_value(Call()); });
  return Done.get_future().get();
}

bool Fleet::startMachine(int Index) {
  if (this->Chosen.SeparateBackends) {
    this->startBackend(Index);
    this->startDaemon(Index);
    return true;
  }
  Backend::Config Config;
  Config.Id = absl::StrCat("i-", Index);
  Config.Service = this->Chosen.Services[static_cast<std::size_t>(Index)];
  Config.Zone = absl::StrCat("r", Index % 2, "-a");
  Config.At = {this->hostOf(Index), BackendPort};
  Config.Daemon = {this->hostOf(Index), ReportPort};
  Config.Heartbeat = this->Chosen.Heartbeat;
  Config.RunTime = this->Chosen.RunTime;
  Config.Keyed = Config.Service == "menus";
  if (this->Chosen.SpoilEvery.contains(Index)) {
    Config.SpoilEvery = this->Chosen.SpoilEvery.at(Index);
  }
  bool Started = this->onIoThread<bool>([&] {
    auto &Place = this->Backends[Index];
    Place = std::make_unique<Backend>(this->Io, Config, this->Book);
    return Place->start().ok();
  });
  this->startDaemon(Index);
  return Started;
}

pid_t Fleet::spawn(std::vector<std::string> Words,
                   std::vector<std::string> Variables, const std::string &Log) {
  std::vector<char *> Arguments;
  std::vector<char *> Environment;
  for (std::string &Word : Words) {
    Arguments.push_back(Word.data());
  }
  for (std::string &Variable : Variables) {
    Environment.push_back(Variable.data());
  }
  Arguments.push_back(nullptr);
  Environment.push_back(nullptr);

  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_addopen(&Actions, 1, Log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&Actions, 1, 2);
  posix_spawn_file_actions_addclosefrom_np(&Actions, 3);
  pid_t Pid = 0;
  posix_spawn(&Pid, Words.front().c_str(), &Actions, nullptr, Arguments.data(),
              Environment.data());
  posix_spawn_file_actions_destroy(&Actions);
  return Pid;
}

void Fleet::startDaemon(int Index) {
  this->writeSettings(Index);
  // The deploy file starts the daemon without arguments; the platform names the
  // settings in a variable.
  const char *Root = std::getenv("HEMLOCKSPAR_BIN");
  this->Daemons[Index] =
      spawn({std::string(Root ? Root : "target") + "/daemon/hemlockspard"},
            {absl::StrCat("HEMLOCKSPAR_SETTINGS=", this->Directory, "/d", Index,
                          ".yaml")},
            absl::StrCat(this->Directory, "/d", Index, ".log"));
  this->Book.note(absl::StrCat("daemon ", Index, " started"));
}

void Fleet::startBackend(int Index, std::chrono::milliseconds ClockAhead) {
  Address At = {this->hostOf(Index), BackendPort};
  Address Daemon = {this->hostOf(Index), ReportPort};
  this->BackendProcesses[Index] = spawn(
      {"target/review-3/backend_3", this->Chosen.Record,
       absl::StrCat("i-", Index),
       this->Chosen.Services[static_cast<std::size_t>(Index)], At.toText(),
       Daemon.toText(), std::to_string(this->Chosen.RunTime.count()),
       std::to_string(ClockAhead.count())},
      {}, absl::StrCat(this->Directory, "/b", Index, ".log"));
}

void Fleet::signalBackend(int Index, int Signal) {
  this->Book.note(absl::StrCat("backend ", Index, " gets signal ", Signal));
  ::kill(this->BackendProcesses.at(Index), Signal);
  if (Signal == SIGKILL) {
    waitpid(this->BackendProcesses.at(Index), nullptr, 0);
    this->BackendProcesses.erase(Index);
  }
}

void Fleet::signalDaemon(int Index, int Signal) {
  this->Book.note(absl::StrCat("daemon ", Index, " gets signal ", Signal));
  ::kill(this->Daemons.at(Index), Signal);
  if (Signal == SIGKILL) {
    waitpid(this->Daemons.at(Index), nullptr, 0);
    this->Daemons.erase(Index);
  }
}

bool Fleet::isReady(int Index) {
  ExchangeResult Result = this->Client.get({this->hostOf(Index), ReadinessPort},
                                           "/api/readyz", RequestTime);
  return Result.Outcome == ExchangeOutcome::Answered &&
         Result.Response.result() == http::status::ok;
}

std::uint32_t Fleet::heldKeys(int Index) {
  return this->onIoThread<std::uint32_t>(
      [&] { return this->Backends.at(Index)->heldKeyCount(); });
}

unsigned Fleet::sendKey(int Index, std::uint32_t Key) {
  HttpRequest Request(http::verb::get, absl::StrCat("/menus/", Key), 11);
  Request.set("Shard-Key", std::to_string(Key));
  return this->send(Index, std::move(Request));
}

unsigned Fleet::sendBooking(int Index) {
  HttpRequest Request(http::verb::post, "/bookings/new", 11);
  Request.body() = "a day package";
  return this->send(Index, std::move(Request));
}

unsigned Fleet::sendRaw(int Index, const std::string &Method) {
  std::string Id = absl::StrCat("q", ++this->LastRequest);
  std::string Text = absl::StrCat(
      Method,
      " /bookings/new HTTP/1.1\r\nHost: spa.example\r\nRequest-Id: ", Id,
      "\r\nDeadline-Ms: 300\r\nContent-Length: 13\r\n\r\na day package");
  this->Book.note(absl::StrCat("request ", Id, " ", Method,
                               " /bookings/new to machine ", Index));

  asio::io_context Own;
  asio::ip::tcp::socket Socket(Own);
  boost::system::error_code Error;
  Socket.connect({asio::ip::make_address(this->hostOf(Index)), CallerPort},
                 Error);
  timeval Limit{};
  Limit.tv_sec = RequestTime.count();
  ::setsockopt(Socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &Limit,
               sizeof(Limit));
  if (!Error) {
    asio::write(Socket, asio::buffer(Text), Error);
  }
  std::string Head(64, '\0');
  ssize_t Length =
      Error ? -1 : ::recv(Socket.native_handle(), Head.data(), Head.size(), 0);
  unsigned Status = 0;
  if (Length >= 12 && Head.starts_with("HTTP/1.1 ")) {
    Status = static_cast<unsigned>(std::stoul(Head.substr(9, 3)));
  }
  this->Book.note(absl::StrCat("request ", Id, " answered ", Status));
  return Status;
}

unsigned Fleet::send(int Index, HttpRequest Request) {
  std::string Id = absl::StrCat("q", ++this->LastRequest);
  Request.set(http::field::host, "spa.example");
  Request.set("Request-Id", Id);
  Request.set("Deadline-Ms", "3000");
  this->Book.note(
      absl::StrCat("request ", Id, " ", std::string(Request.method_string()),
                   " ", std::string(Request.target()), " to machine ", Index));
  ExchangeResult Result = this->Client.exchange(
      {this->hostOf(Index), CallerPort}, Request, RequestTime);
  unsigned Status = Result.Outcome == ExchangeOutcome::Answered
                        ? Result.Response.result_int()
                        : 0;
  this->Book.note(absl::StrCat("request ", Id, " answered ", Status));
  return Status;
}

unsigned Fleet::report(int Index, const std::string &Id,
                       const Json::Value &Body) {
  HttpRequest Request(http::verb::put, "/api/instances/" + Id, 11);
  Request.set(http::field::host, "daemon");
  Request.set(http::field::content_type, "application/json");
  Request.body() = writeJson(Body);
  this->Book.note(absl::StrCat("another writer reports to machine ", Index,
                               ": ", Request.body()));
  ExchangeResult Result = this->Client.exchange(
      {this->hostOf(Index), ReportPort}, Request, RequestTime);
  unsigned Status = Result.Outcome == ExchangeOutcome::Answered
                        ? Result.Response.result_int()
                        : 0;
  this->Book.note(absl::StrCat("the report is answered ", Status));
  return Status;
}

Address Fleet::backendAddress(int Index) const {
  return {this->hostOf(Index), BackendPort};
}

bool Fleet::waitUntil(const std::function<bool()> &Condition,
                      std::chrono::milliseconds Limit) {
  TimePoint End = BootClock::now() + Limit;
  while (!Condition()) {
    if (BootClock::now() >= End) {
      return false;
    }
    this->Book.sample();
    std::this_thread::sleep_for(PollInterval);
  }
  return true;
}

} // namespace hemlockspar::review3
