#include "Harness.h"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <json/reader.h>
#include <json/writer.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int ReadTimeoutMs = 30000;
constexpr int ReportTimeoutMs = 1000;
constexpr int ReleaseReportDelayMs = 50;

/// How much longer than its time limit a caller waits for an answer.
constexpr int CallerSlackMs = 1500;

/// Ports of daemons lie below those that the system gives to connections, so
/// that a daemon finds its ports free when it is started again.
constexpr int FirstPort = 20000;
constexpr int PortCount = 10000;

sockaddr_in endpoint(const std::string &Host, int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  inet_pton(AF_INET, Host.c_str(), &Address.sin_addr);
  return Address;
}

std::string encodeBase64(const std::string &Text) {
  static constexpr char Digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Result;
  for (std::size_t Index = 0; Index < Text.size(); Index += 3) {
    unsigned Bits = 0;
    std::size_t Count = std::min<std::size_t>(3, Text.size() - Index);
    for (std::size_t Offset = 0; Offset < 3; ++Offset) {
      unsigned Byte =
          Offset < Count ? static_cast<unsigned char>(Text[Index + Offset]) : 0;
      Bits = Bits << 8 | Byte;
    }
    for (std::size_t Offset = 0; Offset < 4; ++Offset) {
      Result += Offset <= Count ? Digits[Bits >> (18 - 6 * Offset) & 63] : '=';
    }
  }
  return Result;
}

std::string decodeBase64(const std::string &Text) {
  std::string Result;
  unsigned Bits = 0;
  int Count = 0;
  for (char Digit : Text) {
    unsigned Value = 0;
    if (Digit >= 'A' && Digit <= 'Z') {
      Value = static_cast<unsigned>(Digit - 'A');
    } else if (Digit >= 'a' && Digit <= 'z') {
      Value = static_cast<unsigned>(Digit - 'a') + 26;
    } else if (Digit >= '0' && Digit <= '9') {
      Value = static_cast<unsigned>(Digit - '0') + 52;
    } else if (Digit == '+' || Digit == '/') {
      Value = Digit == '+' ? 62 : 63;
    } else {
      break;
    }
    Bits = Bits << 6 | Value;
    Count += 6;
    if (Count >= 8) {
      Count -= 8;
      Result += static_cast<char>(Bits >> Count & 255);
    }
  }
  return Result;
}

std::string toText(const Json::Value &Value) {
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = "";
  return Json::writeString(Builder, Value);
}

Json::Value parse(const std::string &Text) {
  Json::Value Value;
  std::istringstream Stream(Text);
  std::string Error;
  Json::parseFromStream(Json::CharReaderBuilder(), Stream, &Value, &Error);
  return Value;
}

std::string decodePercent(const std::string &Text) {
  std::string Result;
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    if (Text[Index] == '%' && Index + 2 < Text.size()) {
      Result += static_cast<char>(
          std::strtol(Text.substr(Index + 1, 2).c_str(), nullptr, 16));
      Index += 2;
    } else {
      Result += Text[Index];
    }
  }
  return Result;
}

std::map<std::string, std::string> queryOf(const std::string &Target) {
  std::map<std::string, std::string> Query;
  std::size_t Mark = Target.find('?');
  std::istringstream Parts(Mark == std::string::npos ? ""
                                                     : Target.substr(Mark + 1));
  std::string Part;
  while (std::getline(Parts, Part, '&')) {
    std::size_t Sign = Part.find('=');
    if (Sign != std::string::npos) {
      Query[Part.substr(0, Sign)] = decodePercent(Part.substr(Sign + 1));
    }
  }
  return Query;
}

std::uint64_t toNumber(const std::string &Text) {
  return std::strtoull(Text.c_str(), nullptr, 10);
}

HttpMessage jsonAnswer(int Status, const Json::Value &Body) {
  return makeResponse(Status, {{"Content-Type", "application/json"}},
                      toText(Body));
}

} // namespace

void sleepFor(int Ms) { std::this_thread::sleep_for(Milliseconds(Ms)); }

bool isDisrupted() {
  const char *Value = std::getenv("TROUBLE");
  return !Value || std::string(Value) != "0";
}

// Record

Record::Record(const std::string &Path)
    : Path(Path), Start(SteadyClock::now()) {
  std::ofstream Cleared(Path, std::ios::trunc);
}

int Record::now() const {
  return static_cast<int>(
      std::chrono::duration_cast<Milliseconds>(SteadyClock::now() - this->Start)
          .count());
}

void Record::add(const std::string &Text) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  std::ofstream File(this->Path, std::ios::app);
  File << this->now() << " ms  " << Text << "\n";
}

// HttpMessage

std::string HttpMessage::header(const std::string &Name) const {
  for (const auto &Field : this->Headers) {
    if (strcasecmp(Field.first.c_str(), Name.c_str()) == 0) {
      return Field.second;
    }
  }
  return {};
}

std::string HttpMessage::method() const {
  return this->StartLine.substr(0, this->StartLine.find(' '));
}

std::string HttpMessage::target() const {
  std::size_t First = this->StartLine.find(' ') + 1;
  return this->StartLine.substr(First,
                                this->StartLine.find(' ', First) - First);
}

int HttpMessage::status() const {
  return std::atoi(this->StartLine.c_str() +
                   std::min(this->StartLine.size(), this->StartLine.find(' ')));
}

std::string HttpMessage::text() const {
  std::string Text = this->StartLine + "\r\n";
  for (const auto &Field : this->Headers) {
    Text += Field.first + ": " + Field.second + "\r\n";
  }
  return Text + "\r\n" + this->Body;
}

HttpMessage
makeResponse(int Status,
             const std::vector<std::pair<std::string, std::string>> &Headers,
             const std::string &Body) {
  HttpMessage Response;
  Response.StartLine = "HTTP/1.1 " + std::to_string(Status) + " Status";
  Response.Headers = Headers;
  Response.Headers.emplace_back("Content-Length", std::to_string(Body.size()));
  Response.Body = Body;
  return Response;
}

// Connection

Connection::~Connection() { ::close(this->Fd); }

std::unique_ptr<Connection> Connection::open(const std::string &Host,
                                             int Port) {
  int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto Conn = std::make_unique<Connection>(Fd);
  sockaddr_in Address = endpoint(Host, Port);
  int One = 1;
  ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
  bool Connected = ::connect(Fd, reinterpret_cast<sockaddr *>(&Address),
                             sizeof(Address)) == 0;
  return Connected ? std::move(Conn) : nullptr;
}

bool Connection::fill(SteadyClock::time_point Until) {
  auto Left =
      std::chrono::duration_cast<Milliseconds>(Until - SteadyClock::now());
  pollfd Entry{this->Fd, POLLIN, 0};
  if (Left.count() <= 0 ||
      ::poll(&Entry, 1, static_cast<int>(Left.count())) <= 0) {
    return false;
  }
  char Bytes[16384];
  ssize_t Count = ::recv(this->Fd, Bytes, sizeof(Bytes), 0);
  if (Count <= 0) {
    return false;
  }
  this->Buffer.append(Bytes, static_cast<std::size_t>(Count));
  return true;
}

bool Connection::read(HttpMessage &Message, int TimeoutMs) {
  auto Until = SteadyClock::now() + Milliseconds(TimeoutMs);
  std::size_t End = 0;
  while ((End = this->Buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!this->fill(Until)) {
      return false;
    }
  }

  Message = HttpMessage();
  std::istringstream Lines(this->Buffer.substr(0, End + 2));
  this->Buffer.erase(0, End + 4);
  std::string Line;
  std::getline(Lines, Line);
  Message.StartLine = Line.substr(0, Line.find('\r'));
  while (std::getline(Lines, Line)) {
    std::size_t Colon = Line.find(':');
    std::size_t First = Line.find_first_not_of(' ', Colon + 1);
    if (Colon != std::string::npos && First != std::string::npos) {
      Message.Headers.emplace_back(Line.substr(0, Colon),
                                   Line.substr(First, Line.find('\r') - First));
    }
  }

  std::size_t Length = toNumber(Message.header("Content-Length"));
  while (this->Buffer.size() < Length) {
    if (!this->fill(Until)) {
      return false;
    }
  }
  Message.Body = this->Buffer.substr(0, Length);
  this->Buffer.erase(0, Length);
  return true;
}

bool Connection::write(const std::string &Bytes) {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    ssize_t Count = ::send(this->Fd, Bytes.data() + Sent, Bytes.size() - Sent,
                           MSG_NOSIGNAL);
    if (Count <= 0) {
      return false;
    }
    Sent += static_cast<std::size_t>(Count);
  }
  return true;
}

bool Connection::isClosed() const {
  char Byte = 0;
  ssize_t Count = ::recv(this->Fd, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Count == 0 || (Count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

// Listener

Listener::~Listener() { this->stop(); }

bool Listener::start(const std::string &Host, const Handler &OnConnection,
                     int Port) {
  this->Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int One = 1;
  ::setsockopt(this->Fd, SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One));
  sockaddr_in Address = endpoint(Host, Port);
  socklen_t Size = sizeof(Address);
  bool Listening =
      ::bind(this->Fd, reinterpret_cast<sockaddr *>(&Address), Size) == 0 &&
      ::listen(this->Fd, 256) == 0 &&
      ::getsockname(this->Fd, reinterpret_cast<sockaddr *>(&Address), &Size) ==
          0;
  if (!Listening) {
    return false;
  }
  this->BoundPort = ntohs(Address.sin_port);
  this->Thread = std::thread([this, OnConnection] {
    while (!this->Stopping) {
      pollfd Entry{this->Fd, POLLIN, 0};
      if (::poll(&Entry, 1, 50) <= 0) {
        continue;
      }
      int Accepted = ::accept4(this->Fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (Accepted < 0) {
        continue;
      }
      int NoDelay = 1;
      ::setsockopt(Accepted, IPPROTO_TCP, TCP_NODELAY, &NoDelay,
                   sizeof(NoDelay));
      std::thread([Accepted, OnConnection] {
        OnConnection(std::make_shared<Connection>(Accepted));
      }).detach();
    }
  });
  return true;
}

void Listener::stop() {
  this->Stopping = true;
  if (this->Thread.joinable()) {
    this->Thread.join();
    ::close(this->Fd);
  }
}

int freePort(const std::string &Host) {
  static std::minstd_rand Random(static_cast<unsigned>(::getpid()));
  static std::set<int> Given;
  while (true) {
    int Port = FirstPort + static_cast<int>(Random() % PortCount);
    int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in Address = endpoint(Host, Port);
    int Result =
        ::bind(Fd, reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
    ::close(Fd);
    if (Result == 0 && Given.insert(Port).second) {
      return Port;
    }
  }
}

// Store

bool Store::start(const std::string &Host) {
  return this->Server.start(Host, [this](const ConnectionPtr &Conn) {
    HttpMessage Request;
    while (Conn->read(Request, ReadTimeoutMs)) {
      if (!Conn->write(this->serve(Request).text())) {
        return;
      }
    }
  });
}

void Store::put(const std::string &Table, const std::string &Key,
                const std::string &Value) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  ++this->Version;
  this->write({Table, Key}, {Value, this->Version, false});
}

void Store::write(const RowKey &Key, Row Stored) {
  this->Rows[Key] = std::move(Stored);
  this->Changed.notify_all();
}

void Store::stamp(Json::Value &Body) const {
  auto Age = std::chrono::duration_cast<Milliseconds>(SteadyClock::now() -
                                                      this->Start);
  Body["schema_ver"] = Json::UInt64(this->Version);
  Body["now"] = std::to_string(1000 + Age.count()) + "ms";
}

Json::Value Store::toJson(const RowKey &Key, const Row &Stored) const {
  Json::Value Value;
  Value["table_name"] = Key.first;
  Value["part"] = "";
  Value["key"] = Key.second;
  Value["schema_ver"] = Json::UInt64(Stored.Version);
  if (Stored.Deleted) {
    Value["deleted"] = true;
  } else {
    Value["value"] = encodeBase64(Stored.Value);
  }
  return Value;
}

HttpMessage Store::serve(const HttpMessage &Request) {
  std::string Target = Request.target();
  std::string Path = Target.substr(0, Target.find('?'));
  if (Path == "/api/rows-tx") {
    return this->transact(Request);
  }
  if (Path == "/api/rows-get") {
    return this->read(queryOf(Target));
  }
  return Path == "/api/rows-feed" ? this->follow(queryOf(Target))
                                  : makeResponse(404, {}, "");
}

HttpMessage Store::transact(const HttpMessage &Request) {
  Json::Value Body = parse(Request.Body);
  Json::Value Answer;
  std::lock_guard<std::mutex> Lock(this->Mutex);

  bool Matches = true;
  Answer["rows"] = Json::Value(Json::arrayValue);
  for (const Json::Value &Expected : Body["expected_rev"]) {
    RowKey Key = {Expected["table_name"].asString(),
                  Expected["key"].asString()};
    auto Found = this->Rows.find(Key);
    bool Present = Found != this->Rows.end() && !Found->second.Deleted;
    Matches = Matches && Expected["schema_ver"].asUInt64() ==
                             (Present ? Found->second.Version : 0);
    if (Present) {
      Answer["rows"].append(this->toJson(Key, Found->second));
    }
  }
  if (!Matches) {
    this->stamp(Answer);
    return jsonAnswer(412, Answer);
  }

  ++this->Version;
  for (const Json::Value &Put : Body["puts"]) {
    this->write({Put["table_name"].asString(), Put["key"].asString()},
                {decodeBase64(Put["value"].asString()), this->Version, false});
  }
  for (const Json::Value &Removed : Body["remove"]) {
    this->write({Removed["table_name"].asString(), Removed["key"].asString()},
                {"", this->Version, true});
  }
  Json::Value Done;
  this->stamp(Done);
  return jsonAnswer(200, Done);
}

HttpMessage Store::read(const std::map<std::string, std::string> &Query) {
  auto Parameter = [&](const char *Name) {
    auto Found = Query.find(Name);
    return Found == Query.end() ? std::string() : Found->second;
  };
  Json::Value Answer;
  Answer["rows"] = Json::Value(Json::arrayValue);
  Answer["has_more"] = false;
  std::lock_guard<std::mutex> Lock(this->Mutex);
  for (const auto &Entry : this->Rows) {
    bool Wanted = Entry.first.first == Parameter("table_name") &&
                  Entry.first.second >= Parameter("start_key") &&
                  !Entry.second.Deleted;
    if (Wanted) {
      Answer["rows"].append(this->toJson(Entry.first, Entry.second));
    }
  }
  this->stamp(Answer);
  return jsonAnswer(200, Answer);
}

HttpMessage Store::follow(const std::map<std::string, std::string> &Query) {
  auto Parameter = [&](const char *Name) {
    auto Found = Query.find(Name);
    return Found == Query.end() ? std::string() : Found->second;
  };
  std::string Table = Parameter("table_name");
  std::uint64_t After = toNumber(Parameter("after"));
  auto Until = SteadyClock::now() +
               Milliseconds(static_cast<int>(toNumber(Parameter("wait_ms"))));

  std::unique_lock<std::mutex> Lock(this->Mutex);
  while (true) {
    std::map<std::uint64_t, std::vector<Json::Value>> Later;
    for (const auto &Entry : this->Rows) {
      if (Entry.first.first == Table && Entry.second.Version > After) {
        Later[Entry.second.Version].push_back(
            this->toJson(Entry.first, Entry.second));
      }
    }
    if (!Later.empty() || SteadyClock::now() >= Until) {
      Json::Value Answer;
      Answer["rows"] = Json::Value(Json::arrayValue);
      for (const auto &Step : Later) {
        for (const Json::Value &Value : Step.second) {
          Answer["rows"].append(Value);
        }
      }
      this->stamp(Answer);
      return jsonAnswer(200, Answer);
    }
    this->Changed.wait_until(Lock, Until);
  }
}

// Backend

Backend::Backend(Options Opts, Record &Log) : Opts(std::move(Opts)), Log(Log) {
  auto Now = std::chrono::system_clock::now().time_since_epoch();
  this->BornMs = std::chrono::duration_cast<Milliseconds>(Now).count();
}

Backend::~Backend() { this->stop(); }

bool Backend::start() {
  bool Listening = this->Server.start(
      this->Opts.Host, [this](const ConnectionPtr &Conn) { this->serve(Conn); },
      this->Opts.Port);
  this->Reporter = std::thread([this] { this->reportLoop(); });
  return Listening;
}

void Backend::stop() {
  this->Stopping = true;
  this->Server.stop();
  if (this->Reporter.joinable()) {
    this->Reporter.join();
  }
}

void Backend::serve(const ConnectionPtr &Conn) {
  HttpMessage Request;
  while (!this->Stopping && Conn->read(Request, ReadTimeoutMs)) {
    std::string Key = Request.header("Shard-Key");
    bool Misdirected =
        Request.header("Expect-Instance") != this->Opts.Id ||
        (this->Opts.Keyed &&
         (Key.empty() || !this->holds(static_cast<unsigned>(toNumber(Key)))));
    if (Misdirected) {
      Conn->write(this->refuse(421, Request).text());
      continue;
    }
    if (this->OnRequest && this->OnRequest(Conn, Request)) {
      continue;
    }
    Conn->write(this->run(Request).text());
  }
}

HttpMessage Backend::refuse(int Status, const HttpMessage &Request) const {
  std::string Id = Request.header("Request-Id");
  this->Log.add(this->Opts.Id + " refuses " + Id + " with " +
                std::to_string(Status) + ", not run");
  return makeResponse(Status,
                      {{"Request-Id", Id},
                       {"Not-Executed", "1"},
                       {"Instance-Id", this->Opts.Id}},
                      "");
}

HttpMessage Backend::run(const HttpMessage &Request) {
  std::string Id = Request.header("Request-Id");
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    ++this->Runs[Id];
    this->Log.add(this->Opts.Id + " begins to run " + Id + " (run " +
                  std::to_string(this->Runs[Id]) + ")");
  }
  sleepFor(this->Opts.WorkMs);
  this->Log.add(this->Opts.Id + " has run " + Id);
  return makeResponse(200,
                      {{"Request-Id", Id}, {"Server-Stamp", "stamp." + Id}},
                      this->Opts.Id + " ran " + Id + "\n");
}

bool Backend::leave() {
  auto Conn = Connection::open(this->Opts.Host, this->Opts.ReportPort);
  HttpMessage Answer;
  bool Acknowledged =
      Conn &&
      Conn->write("DELETE /api/instances/" + this->Opts.Id +
                  " HTTP/1.1\r\nHost: daemon\r\nContent-Length: 0\r\n\r\n") &&
      Conn->read(Answer, ReportTimeoutMs) && Answer.status() == 200;
  this->Log.add(this->Opts.Id +
                " sends DELETE: " + (Acknowledged ? "acknowledged" : "no ack"));
  return Acknowledged;
}

std::string Backend::makeReport() {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  Json::Value Report;
  Report["service"] = this->Opts.Service;
  Report["address"] =
      this->Opts.Host + ":" + std::to_string(this->Server.port());
  Report["zone"] = "zone-a";
  Report["version"] = "v1";
  Report["slots"] = this->Opts.Slots;
  Report["state"] = this->Draining ? "draining" : "ready";
  Report["cold_left"] = "0ms";
  Report["sequence"] = Json::UInt64(++this->Sequence);
  Report["born"] = Json::Int64(this->BornMs);
  if (this->Opts.Keyed) {
    auto Now = SteadyClock::now();
    Report["holds"] = Json::Value(Json::arrayValue);
    for (const KeyGrant &Grant : this->Held) {
      if (Now < Grant.Until) {
        Json::Value Row(Json::arrayValue);
        Row.append(Grant.From);
        Row.append(Grant.To);
        Row.append(Json::UInt64(Grant.Fence));
        Report["holds"].append(Row);
      }
    }
    Report["released"] = this->Released;
  }
  return toText(Report);
}

bool Backend::sendReport(const std::string &Body) {
  auto SentAt = SteadyClock::now();
  auto Conn = Connection::open(this->Opts.Host, this->Opts.ReportPort);
  HttpMessage Answer;
  bool Acknowledged =
      Conn &&
      Conn->write("PUT /api/instances/" + this->Opts.Id +
                  " HTTP/1.1\r\nHost: daemon\r\nContent-Type: "
                  "application/json\r\nContent-Length: " +
                  std::to_string(Body.size()) + "\r\n\r\n" + Body) &&
      Conn->read(Answer, ReportTimeoutMs) && Answer.status() == 200;
  if (Acknowledged && this->Opts.Keyed) {
    this->applyAnswer(Answer.Body, SentAt);
  }
  return Acknowledged;
}

void Backend::applyAnswer(const std::string &Body,
                          SteadyClock::time_point SentAt) {
  Json::Value Answer = parse(Body);
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Released = Json::Value(Json::arrayValue);
  if (!Answer["holds"].isArray()) {
    return;
  }

  auto Until = SentAt + Milliseconds(static_cast<int>(std::strtod(
                            Answer["hold_time"].asCString(), nullptr)));
  std::vector<KeyGrant> Fresh;
  for (const Json::Value &Row : Answer["holds"]) {
    Fresh.push_back(
        {Row[0].asUInt(), Row[1].asUInt(), Row[2].asUInt64(), Until});
  }
  for (const KeyGrant &Grant : this->Held) {
    bool Kept =
        std::any_of(Fresh.begin(), Fresh.end(), [&](const KeyGrant &Entry) {
          return Entry.From <= Grant.From && Grant.To <= Entry.To;
        });
    if (!Kept && SteadyClock::now() < Grant.Until) {
      Json::Value Row(Json::arrayValue);
      Row.append(Grant.From);
      Row.append(Grant.To);
      Row.append("state-" + std::to_string(Grant.Fence));
      this->Released.append(Row);
    }
  }
  this->Held = std::move(Fresh);
}

void Backend::reportLoop() {
  while (!this->Stopping) {
    if (this->Reporting) {
      this->sendReport(this->makeReport());
    }
    bool HasReleased = false;
    {
      std::lock_guard<std::mutex> Lock(this->Mutex);
      HasReleased = !this->Released.empty();
    }
    int Delay = HasReleased ? ReleaseReportDelayMs : this->Opts.HeartbeatMs;
    for (int Waited = 0; Waited < Delay && !this->Stopping; Waited += 10) {
      sleepFor(10);
    }
  }
}

bool Backend::holds(unsigned Key) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  auto Now = SteadyClock::now();
  return std::any_of(
      this->Held.begin(), this->Held.end(), [&](const KeyGrant &Grant) {
        return Grant.From <= Key && Key <= Grant.To && Now < Grant.Until;
      });
}

unsigned Backend::heldKeys() {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  unsigned Count = 0;
  for (const KeyGrant &Grant : this->Held) {
    Count += SteadyClock::now() < Grant.Until ? Grant.To - Grant.From + 1 : 0;
  }
  return Count;
}

std::map<std::string, int> Backend::runs() {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Runs;
}

// Daemon

Daemon::Daemon(Options Opts, const std::string &Folder, Record &Log)
    : Opts(std::move(Opts)), Folder(Folder), Log(Log),
      CallerPort(freePort(this->Opts.Host)),
      ReadyPort(freePort(this->Opts.Host)),
      ReportPort(freePort(this->Opts.Host)),
      InnerPort(freePort(this->Opts.Host)),
      MetricsPort(freePort(this->Opts.Host)) {}

Daemon::~Daemon() { this->kill(); }

bool Daemon::start() {
  std::string Path = this->Folder + "/" + this->Opts.Name + ".yaml";
  const std::string &Host = this->Opts.Host;
  std::string Inner = Host + ":" + std::to_string(this->InnerPort);
  std::ofstream File(Path);
  File << "instance: \"" << this->Opts.Name << "\"\n"
       << "region: \"region\"\ndata_center: \"zone-a\"\n"
       << "link_mbps: \"1000.0\"\nstop_time: \"6s\"\nlisten:\n"
       << "  callers: \"" << Host << ":" << this->CallerPort << "\"\n"
       << "  readiness: \"" << Host << ":" << this->ReadyPort << "\"\n"
       << "  reports: \"" << Host << ":" << this->ReportPort << "\"\n"
       << "  inner: \"" << Inner << "\"\n";
  if (!this->Opts.InnerAdvertised.empty()) {
    File << "  advertised: \"" << this->Opts.InnerAdvertised << "\"\n";
  }
  File << "  metrics_port: " << this->MetricsPort << "\nstore:\n"
       << "  address: \"" << this->Opts.StoreHost << ":" << this->Opts.StorePort
       << "\"\nserver:\n  address: \"" << Host << ":" << this->BackendPort
       << "\"\n  service: \"" << this->Opts.Service
       << "\"\n  heartbeat: \"870ms\"\n  grants: \"heartbeat\"\n"
       << "  leave_time: \"2500ms\"\n  longest_hold: \"10000ms\"\n"
       << "repeats:\n  share: \"0.2\"\n  window: \"10s\"\n"
       << "  allowance: \"56\"\n";
  File.close();

  std::string LogPath = this->Folder + "/" + this->Opts.Name + ".log";
  std::string Setting = "HEMLOCKSPAR_SETTINGS=" + Path;
  std::string Program = "target/daemon/hemlockspard";
  char *Arguments[] = {Program.data(), nullptr};
  char *Environment[] = {Setting.data(), nullptr};
  pid_t Parent = ::getpid();
  this->Pid = ::fork();
  if (this->Pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    int Out = ::open(LogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(Out, 1);
    ::dup2(Out, 2);
    if (::getppid() == Parent) {
      ::execve(Program.c_str(), Arguments, Environment);
    }
    ::_exit(127);
  }
  this->Log.add("daemon " + this->Opts.Name + " is started");
  return this->Pid > 0;
}

void Daemon::signal(int Number) { ::kill(this->Pid, Number); }

void Daemon::kill() {
  if (this->Pid > 0) {
    ::kill(this->Pid, SIGKILL);
    ::waitpid(this->Pid, nullptr, 0);
    this->Pid = -1;
    this->Log.add("daemon " + this->Opts.Name + " is killed");
  }
}

bool Daemon::isReady() const {
  auto Conn = Connection::open(this->Opts.Host, this->ReadyPort);
  HttpMessage Answer;
  return Conn &&
         Conn->write("GET /api/readyz HTTP/1.1\r\nHost: daemon\r\n\r\n") &&
         Conn->read(Answer, 1000) && Answer.status() == 200;
}

int sendRequest(const Daemon &Entry, const CallerRequest &Request, Record &Log,
                HttpMessage *Answer) {
  auto Conn = Connection::open(Entry.host(), Entry.callerPort());
  std::string Text = Request.Method + " " + Request.Path +
                     " HTTP/1.1\r\nHost: " + Request.HostName +
                     "\r\nRequest-Id: " + Request.Id +
                     "\r\nDeadline-Ms: " + std::to_string(Request.DeadlineMs);
  if (Request.Key) {
    Text += "\r\nShard-Key: " + std::to_string(*Request.Key);
  }
  Text += "\r\nContent-Length: " + std::to_string(Request.Body.size()) +
          "\r\n\r\n" + Request.Body;

  Log.add("the caller sends " + Request.Method + " " + Request.Path + " " +
          Request.Id);
  HttpMessage Response;
  bool Answered = Conn && Conn->write(Text) &&
                  Conn->read(Response, Request.DeadlineMs + CallerSlackMs);
  int Status = Answered ? Response.status() : 0;
  std::string Retry = Response.header("Retry-After");
  Log.add("the caller gets " + std::to_string(Status) + " for " + Request.Id +
          (Retry.empty() ? "" : ", Retry-After " + Retry));
  if (Answer) {
    *Answer = Response;
  }
  return Status;
}

TemporaryFolder::TemporaryFolder() {
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  this->Path = ::mkdtemp(Pattern.data());
}

TemporaryFolder::~TemporaryFolder() {
  std::error_code Ignored;
  if (!std::getenv("REVIEW_KEEP")) {
    std::filesystem::remove_all(this->Path, Ignored);
  }
}

bool waitUntil(const std::function<bool()> &Condition, int LimitMs) {
  auto End = SteadyClock::now() + Milliseconds(LimitMs);
  while (!Condition()) {
    if (SteadyClock::now() >= End) {
      return false;
    }
    sleepFor(20);
  }
  return true;
}

std::string routeEntry(const std::string &Name, const std::string &Service,
                       const std::string &Kind, int TimeoutMs,
                       int ObjectiveMs) {
  return R"({"resource_kind":"routes","metadata":{"name":"r-)" + Name +
         R"("},"spec":{"hostname":"spa.example","prefix":"/)" + Name +
         R"(/","route_kind":")" + Kind + R"(","timeout":")" +
         std::to_string(TimeoutMs) + R"(ms","target_latency":")" +
         std::to_string(ObjectiveMs) + R"(ms","priority":1,"service":")" +
         Service + R"(","max_attempts":2}})";
}

std::string serviceEntry(const std::string &Name, bool Keyed) {
  return R"({"resource_kind":"services","metadata":{"name":")" + Name +
         R"("},"spec":{"health_path":"/healthz","max_connections":110,)" +
         R"("protocol":"h1","tls":false)" +
         (Keyed ? R"(,"sharded":true,"warmup":"2s","grants":"heartbeat")"
                : "") +
         "}}";
}

std::string manifest(int Version, const std::vector<std::string> &Entries) {
  std::string Text =
      R"({"version":"r)" + std::to_string(Version) + R"(","resources":[)";
  for (const std::string &Entry : Entries) {
    Text += Entry + ",";
  }
  return Text + R"({"resource_kind":"limits","metadata":{},"spec":{)"
                R"("max_header_bytes":16384,"max_body_bytes":67108864,)"
                R"("header_timeout":"3000ms","idle_timeout":"15000ms"}}]})";
}

} // namespace review
