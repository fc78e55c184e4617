#pragma once

#include "net/BlockingClient.h"
#include "review/harness-3/Backend.h"
#include "stand_ins/FakePlatformStore.h"

#include <boost/asio/executor_work_guard.hpp>
#include <memory>
#include <sys/types.h>
#include <thread>

namespace hemlockspar::review3 {

/// Stands between the daemons and the stand-in store, whose eras begin at 1:
/// passes all calls on and states the era less a fixed number.
class EraShift {
public:
  EraShift(boost::asio::io_context &Io, Address Store, std::uint64_t Less);

  absl::Status listen(const Address &At) { return this->Server.listen(At); }

private:
  HttpResponse pass(HttpRequest &Request, CallerWatch &Watch,
                    const boost::asio::yield_context &Yield);

  Address Store;
  std::uint64_t Less;
  HttpClient Client;
  HttpServer Server;
};

/// A small deployment on loopback addresses: one store, and daemons as separate
/// processes with a backend server beside each. Ends all processes when it is
/// destroyed.
class Fleet {
public:
  struct Options {
    /// The service of each backend server: "menus" is divided by key and may be
    /// repeated, "bookings" runs once at most.
    std::vector<std::string> Services;

    /// The era that the store states at first.
    std::uint64_t FirstEra = 1;
    std::chrono::milliseconds Heartbeat{870};
    std::chrono::milliseconds RunTime{100};

    /// Backend servers with these numbers spoil one of so many answers.
    std::map<int, int> SpoilEvery;

    /// Runs the backend servers as processes of their own; they write to
    /// Record.
    bool SeparateBackends = false;
    std::string Record;
  };

  Fleet(Options Chosen, Ledger &Book);
  ~Fleet();

  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  /// Starts the store, with the first manifest in it, and the thread on which
  /// the stand-ins run.
  bool startStore();

  /// Starts the backend server and the daemon of machine \p Index.
  bool startMachine(int Index);
  void startDaemon(int Index);

  /// Starts the backend server of machine \p Index as a process of its own,
  /// whose clock is ahead by \p ClockAhead.
  void startBackend(int Index, std::chrono::milliseconds ClockAhead = {});
  void signalBackend(int Index, int Signal);
  void signalDaemon(int Index, int Signal);

  /// Writes the manifest \p Version to the store.
  void declare(std::uint64_t Version);

  bool isReady(int Index);
  std::uint32_t heldKeys(int Index);

  /// Sends a request for \p Key of "menus" as a consumer on machine \p Index;
  /// returns its status, 0 if there was no answer.
  unsigned sendKey(int Index, std::uint32_t Key);

  /// Sends a request that may run once to "bookings".
  unsigned sendBooking(int Index);

  /// Sends a request like a booking, with the method \p Method, on a plain
  /// socket; returns its status, 0 if there was no answer.
  unsigned sendRaw(int Index, const std::string &Method);

  /// Sends \p Body as a status report under \p Id to the daemon of machine
  /// \p Index, as another writer than the backend server may; returns the
  /// status of the answer.
  unsigned report(int Index, const std::string &Id, const Json::Value &Body);

  /// Address of the backend server of machine \p Index.
  Address backendAddress(int Index) const;

  bool waitUntil(const std::function<bool()> &Condition,
                 std::chrono::milliseconds Limit);

  FakePlatformStore &store() { return *this->StandInStore; }
  Backend &backend(int Index) { return *this->Backends.at(Index); }
  int count() const { return static_cast<int>(this->Chosen.Services.size()); }

private:
  std::string hostOf(int Index) const;
  void writeSettings(int Index) const;
  unsigned send(int Index, HttpRequest Request);
  static pid_t spawn(std::vector<std::string> Words,
                     std::vector<std::string> Variables,
                     const std::string &Log);
  template <typename Result> Result onIoThread(std::function<Result()> Call);

  Options Chosen;
  Ledger &Book;
  int Network;
  std::string Directory;
  boost::asio::io_context Io;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      KeepRunning;
  std::unique_ptr<FakePlatformStore> StandInStore;
  std::unique_ptr<EraShift> Shift;
  std::map<int, std::unique_ptr<Backend>> Backends;
  std::map<int, pid_t> Daemons;
  std::map<int, pid_t> BackendProcesses;
  std::thread IoThread;
  BlockingClient Client;
  int LastRequest = 0;
};

} // namespace hemlockspar::review3
