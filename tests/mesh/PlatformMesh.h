#pragma once

#include "net/BlockingClient.h"
#include "stand_ins/FakePlatformServer.h"
#include "stand_ins/FakePlatformStore.h"
#include "stand_ins/FaultProxy.h"

#include <boost/asio/executor_work_guard.hpp>
#include <memory>
#include <sys/types.h>
#include <thread>

namespace hemlockspar {

/// Daemons as processes of their own, on loopback addresses that no other test
/// uses, with a stand-in of the platform's store and a stand-in of a backend
/// server beside each. Ends all of them when destroyed.
class PlatformMesh {
public:
  /// \p Number, different in each test, chooses the addresses 127.Number.*.
  /// Programs run side by side: these begin at 61, those of Mesh end below.
  /// \p Services names the service beside each daemon. When \p Proxied, a
  /// proxy stands between daemons, and between each and the store.
  PlatformMesh(int Number, std::vector<std::string> Services,
               bool Proxied = false);
  ~PlatformMesh();

  PlatformMesh(const PlatformMesh &) = delete;
  PlatformMesh &operator=(const PlatformMesh &) = delete;

  /// Declares configuration 1, starts everything, and waits until all daemons
  /// are ready and all keys are held. False when that does not come about.
  bool start();

  /// As start, and waits for nothing.
  bool startServers();

  /// Declares the routes of configuration \p Version: "/menus/" to the service
  /// menus, whose keys are owned, "/bookings/" to bookings, once only, and
  /// \p Extra to bookings.
  void declare(std::uint64_t Version, const std::string &Extra = "");

  void startDaemon(int Index);

  /// Whether the process that was started last has said that it serves.
  bool hasStarted(int Index) const;
  void signalDaemon(int Index, int Signal);

  /// Waits for the process to end; its exit code, or -1 for a signal.
  int waitForExit(int Index);

  /// Sends a request of a caller beside daemon \p Index.
  ExchangeResult send(int Index, const std::string &Path,
                      const std::map<std::string, std::string> &Headers = {},
                      http::verb Method = http::verb::get);

  /// As send, for a key of menus; a new request id each time.
  ExchangeResult sendKey(int Index, std::uint32_t Key);

  /// Sends a report to daemon \p Index as somebody else might.
  ExchangeResult report(int Index, const std::string &Id,
                        const std::string &Body);

  bool isReady(int Index);
  bool allHeld();

  /// The index of the backend server that holds \p Key, or -1.
  int holderOf(std::uint32_t Key);

  bool waitUntil(const std::function<bool()> &Condition,
                 std::chrono::seconds Limit = std::chrono::seconds(40));

  /// Whether the daemon's process has been started and not seen to end.
  bool isUp(int Index) const { return this->Daemons.contains(Index); }

  /// Backend servers that are started from now on tell \p Ledger what they
  /// hold.
  void setLedger(OwnershipChecker *Ledger) { this->Ledger = Ledger; }

  FakePlatformStore &store() { return *this->Rows; }
  FakePlatformServer &server(int Index) {
    return *this->Servers[static_cast<std::size_t>(Index)];
  }
  std::string hostOf(int Index) const;
  int count() const { return static_cast<int>(this->Services.size()); }

  /// What the proxy does to connections that daemon \p From opens to daemon
  /// \p To, or to the store for -1.
  void setLink(int From, int To, const LinkFaults &Faults);

  /// Where callers beside daemon \p Index send requests.
  Address callersOf(int Index) const;
  std::string logOf(int Index) const;

private:
  Address storeOf(int Index) const;
  Address proxyOf(int Index) const;
  Address storeProxyOf(int Index) const;
  Address proxyControl() const;
  void writeSettings(int Index) const;
  std::string path(const std::string &File) const;

  bool startProxy();

  int Number;
  bool Proxied;
  std::vector<std::string> Services;
  std::string Directory;
  boost::asio::io_context Io;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      KeepRunning;
  std::unique_ptr<FakePlatformStore> Rows;
  std::unique_ptr<FaultProxy> Proxy;
  std::vector<std::unique_ptr<FakePlatformServer>> Servers;
  std::thread Runner;
  OwnershipChecker *Ledger = nullptr;
  std::map<int, pid_t> Daemons;

  /// How often each daemon was started.
  std::map<int, int> Starts;
  BlockingClient Client;
  int LastRequest = 0;
};

} // namespace hemlockspar
