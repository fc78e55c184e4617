#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <json/value.h>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

/// Stand-ins for the platform's store, backend servers and callers, and control
/// of daemon processes. Blocking sockets, one thread per connection.
namespace review {

using SteadyClock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

void sleepFor(int Ms);

/// Whether the disruption of the case is to be played (TROUBLE=0: it is not).
bool isDisrupted();

/// Collects what was sent, answered and run; written with times to record.txt.
class Record {
public:
  explicit Record(const std::string &Path);
  void add(const std::string &Text);
  int now() const;

private:
  std::mutex Mutex;
  std::string Path;
  SteadyClock::time_point Start;
};

struct HttpMessage {
  std::string StartLine;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;

  std::string header(const std::string &Name) const;
  std::string method() const;
  std::string target() const;
  int status() const;
  std::string text() const;
};

HttpMessage
makeResponse(int Status,
             const std::vector<std::pair<std::string, std::string>> &Headers,
             const std::string &Body);

/// An HTTP connection; closed when destroyed.
class Connection {
public:
  explicit Connection(int Fd) : Fd(Fd) {}
  ~Connection();
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  /// Connects to \p Host; null when that fails.
  static std::unique_ptr<Connection> open(const std::string &Host, int Port);

  /// Reads one message; false when the connection ends or time is over.
  bool read(HttpMessage &Message, int TimeoutMs);
  bool write(const std::string &Bytes);

  /// Whether the peer has closed the connection.
  bool isClosed() const;

private:
  bool fill(SteadyClock::time_point Until);

  int Fd;
  std::string Buffer;
};

using ConnectionPtr = std::shared_ptr<Connection>;

/// Accepts connections on a free port, each served by a thread of its own.
class Listener {
public:
  using Handler = std::function<void(const ConnectionPtr &)>;

  ~Listener();
  bool start(const std::string &Host, const Handler &OnConnection,
             int Port = 0);
  void stop();
  int port() const { return this->BoundPort; }

private:
  int Fd = -1;
  int BoundPort = 0;
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

/// A port of \p Host that nobody listens on.
int freePort(const std::string &Host);

/// The platform's store, with tables only.
class Store {
public:
  bool start(const std::string &Host);
  int port() const { return this->Server.port(); }
  void put(const std::string &Table, const std::string &Key,
           const std::string &Value);

private:
  struct Row {
    std::string Value;
    std::uint64_t Version = 0;
    bool Deleted = false;
  };
  using RowKey = std::pair<std::string, std::string>;

  HttpMessage serve(const HttpMessage &Request);
  HttpMessage transact(const HttpMessage &Request);
  HttpMessage read(const std::map<std::string, std::string> &Query);
  HttpMessage follow(const std::map<std::string, std::string> &Query);
  Json::Value toJson(const RowKey &Key, const Row &Stored) const;
  void stamp(Json::Value &Body) const;
  void write(const RowKey &Key, Row Stored);

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<RowKey, Row> Rows;
  std::uint64_t Version = 0;
  SteadyClock::time_point Start = SteadyClock::now();
  Listener Server;
};

struct KeyGrant {
  unsigned From = 0;
  unsigned To = 0;
  std::uint64_t Fence = 0;
  SteadyClock::time_point Until;
};

/// A backend server with its status reports and keys.
class Backend {
public:
  struct Options {
    std::string Id;
    std::string Service;
    std::string Host;
    int ReportPort = 0;
    int Port = 0;
    bool Keyed = false;
    int HeartbeatMs = 870;
    unsigned Slots = 6;
    int WorkMs = 100;
  };

  /// Handles a request in place of the usual run, if it returns true.
  using Hook = std::function<bool(const ConnectionPtr &, const HttpMessage &)>;

  Backend(Options Opts, Record &Log);
  ~Backend();
  bool start();
  void stop();
  int port() const { return this->Server.port(); }

  void setHook(Hook OnRequest) { this->OnRequest = std::move(OnRequest); }

  /// Runs \p Request and returns its answer.
  HttpMessage run(const HttpMessage &Request);

  /// The answer to a request that is not run.
  HttpMessage refuse(int Status, const HttpMessage &Request) const;

  /// Sends the request to leave; true when it is acknowledged. No status
  /// report follows.
  bool leave();

  /// Reports that it is draining from now on.
  void drain() { this->Draining = true; }

  void stopReports() { this->Reporting = false; }

  /// The next status report, not yet sent.
  std::string makeReport();
  bool sendReport(const std::string &Body);

  bool holds(unsigned Key);

  /// Number of keys held.
  unsigned heldKeys();

  /// Number of runs by request id.
  std::map<std::string, int> runs();

private:
  void serve(const ConnectionPtr &Conn);
  void reportLoop();
  void applyAnswer(const std::string &Body, SteadyClock::time_point SentAt);

  Options Opts;
  Record &Log;
  Hook OnRequest;
  Listener Server;
  std::thread Reporter;
  std::mutex Mutex;
  std::vector<KeyGrant> Held;
  Json::Value Released{Json::arrayValue};
  std::map<std::string, int> Runs;
  std::uint64_t Sequence = 0;
  std::int64_t BornMs = 0;
  unsigned Running = 0;
  std::atomic<bool> Draining{false};
  std::atomic<bool> Reporting{true};
  std::atomic<bool> Stopping{false};
};

/// A daemon of the deploy file, as a process of its own.
class Daemon {
public:
  struct Options {
    std::string Name;
    std::string Host;
    std::string Service;
    int StorePort = 0;
    std::string StoreHost;
    std::string InnerAdvertised;
  };

  Daemon(Options Opts, const std::string &Folder, Record &Log);
  ~Daemon();

  /// Sets the address of the backend server on the same machine.
  void setBackendPort(int Port) { this->BackendPort = Port; }
  bool start();
  void signal(int Number);
  void kill();
  bool isReady() const;

  const std::string &host() const { return this->Opts.Host; }
  int callerPort() const { return this->CallerPort; }
  int reportPort() const { return this->ReportPort; }
  int innerPort() const { return this->InnerPort; }

private:
  Options Opts;
  std::string Folder;
  Record &Log;
  int CallerPort;
  int ReadyPort;
  int ReportPort;
  int InnerPort;
  int MetricsPort;
  int BackendPort = 0;
  pid_t Pid = -1;
};

struct CallerRequest {
  std::string Id;
  std::string Method = "GET";
  std::string Path;
  std::string HostName = "spa.example";
  int DeadlineMs = 4000;
  std::optional<unsigned> Key;
  std::string Body;
};

/// Sends \p Request to the daemon; the status of its answer, or 0 when the
/// connection ends without one.
int sendRequest(const Daemon &Entry, const CallerRequest &Request, Record &Log,
                HttpMessage *Answer = nullptr);

/// A temporary folder, removed when destroyed.
class TemporaryFolder {
public:
  TemporaryFolder();
  ~TemporaryFolder();
  const std::string &path() const { return this->Path; }

private:
  std::string Path;
};

/// Waits until \p Condition holds; false when that takes too long.
bool waitUntil(const std::function<bool()> &Condition, int LimitMs);

/// One entry of the manifest's list of resources.
std::string routeEntry(const std::string &Name, const std::string &Service,
                       const std::string &Kind, int TimeoutMs, int ObjectiveMs);
std::string serviceEntry(const std::string &Name, bool Keyed);
std::string manifest(int Version, const std::vector<std::string> &Entries);

} // namespace review
