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

/// Runs daemons as separate processes on loopback addresses that no other test
/// uses, with a fake platform store and a fake backend server for each daemon.
/// Terminates all of them when destroyed.
class PlatformMesh {
public:
  /// \p Number selects the addresses 127.Number.*.* and must differ between
  /// tests. Test programs run in parallel: numbers here start at 61, those of
  /// Mesh are lower. \p Services names the service of each daemon's backend
  /// server. When \p Proxied is set, a proxy is placed between the daemons and
  /// between each daemon and the store.
  PlatformMesh(int Number, std::vector<std::string> Services,
               bool Proxied = false);
  ~PlatformMesh();

  PlatformMesh(const PlatformMesh &) = delete;
  PlatformMesh &operator=(const PlatformMesh &) = delete;

  /// Declares configuration 1, starts all processes, and waits until all
  /// daemons are ready and all keys are held. Returns false when that times
  /// out.
  bool start();

  /// As start, but does not wait.
  bool startServers();

  /// Declares configuration \p Version with the routes "/menus/" to the service
  /// menus, which has key ownership, "/bookings/" to bookings, at most once,
  /// and "/\p Extra/" to bookings.
  void declare(std::uint64_t Version, const std::string &Extra = "");

  /// Restricts the route \p Route to \p Region in configurations declared from
  /// now on.
  void setHome(const std::string &Route, const std::string &Region) {
    this->HomesOfRoute[Route] = "\"" + Region + "\"";
  }

  /// Declares that cold backend servers tolerate \p Rate requests per second in
  /// configurations declared from now on.
  void setColdRequestsPerSecond(double Rate) {
    this->ColdRequestsPerSecond = Rate;
  }

  /// Declares \p Bytes as the largest body in configurations declared from now
  /// on.
  void setMaxBodyBytes(std::uint64_t Bytes) { this->MaxBodyBytes = Bytes; }

  /// Also places a proxy between each daemon and its backend server; to be
  /// called before the start of a proxied mesh.
  void setServersProxied() { this->ServersProxied = true; }

  /// Adds \p Count further routes to configurations declared from now on.
  void setFurtherRoutes(int Count) { this->FurtherRoutes = Count; }

  /// Adds the line \p Setting to the settings of daemons started from now on.
  void addSetting(const std::string &Setting) {
    this->MoreSettings += Setting + "\n";
  }

  /// Process ID of the daemon, which must be running.
  pid_t processOf(int Index) const { return this->Daemons.at(Index); }

  void startDaemon(int Index);

  /// Whether the most recently started process has logged that it is running.
  bool hasStarted(int Index) const;
  void signalDaemon(int Index, int Signal);

  /// Waits for the process to end; returns its exit code, or -1 if a signal
  /// ended it.
  int waitForExit(int Index);

  /// Sends a request as a caller on the machine of daemon \p Index.
  ExchangeResult send(int Index, const std::string &Path,
                      const std::map<std::string, std::string> &Headers = {},
                      http::verb Method = http::verb::get,
                      const std::string &Body = "");

  /// As send, for a key of menus, with a new request ID each time.
  ExchangeResult sendKey(int Index, std::uint32_t Key);

  /// Sends a report with an arbitrary ID and body to daemon \p Index.
  ExchangeResult report(int Index, const std::string &Id,
                        const std::string &Body);

  /// Announces the shutdown of backend server \p Id to daemon \p Index.
  ExchangeResult leave(int Index, const std::string &Id);

  bool isReady(int Index);
  bool allKeysHeld();

  /// Returns the index of the backend server that holds \p Key, or -1.
  int holderOf(std::uint32_t Key);

  bool waitUntil(const std::function<bool()> &Condition,
                 std::chrono::seconds Limit = std::chrono::seconds(40));

  /// Whether the daemon's process has been started and has not been seen to
  /// end.
  bool isRunning(int Index) const { return this->Daemons.contains(Index); }

  /// Makes backend servers that are started later report the keys that they
  /// hold to \p Ledger.
  void setLedger(OwnershipChecker *Ledger) { this->Ledger = Ledger; }

  /// Rate of each daemon's link in Mbit/s; to be called before the start.
  void setLinkMbps(double Rate) { this->LinkMbps = Rate; }

  /// Keys are granted by calls; to be called before the start.
  void setGrantsByCall() { this->GrantsByCall = true; }

  /// Takes a copy of the store, runs \p Lost, and lets the store come back from
  /// the copy after a short outage, in which \p Rewritten writes what others
  /// than the daemons write again.
  void restoreStore(const std::function<void()> &Lost,
                    const std::function<void()> &Rewritten);

  FakePlatformStore &store() { return *this->StandInStore; }
  FakePlatformServer &server(int Index) {
    return *this->Servers[static_cast<std::size_t>(Index)];
  }
  std::string hostOf(int Index) const;
  int count() const { return static_cast<int>(this->Services.size()); }

  /// Sets the faults of connections that daemon \p From opens to daemon \p To,
  /// or to the store for -1.
  void setLink(int From, int To, const LinkFaults &Faults);

  /// The same for connections that daemon \p Index opens to its backend server.
  void setServerLink(int Index, const LinkFaults &Faults);

  /// Address to which callers on the machine of daemon \p Index send requests.
  Address callerAddress(int Index) const;

  /// Address to which other daemons send requests for daemon \p Index.
  Address peerAddress(int Index) const;
  std::string logOf(int Index) const;

private:
  Address storeAddress(int Index) const;
  Address peerProxyAddress(int Index) const;
  Address storeProxyAddress(int Index) const;
  Address serverProxyAddress(int Index) const;
  Address proxyControlAddress() const;
  void writeSettings(int Index) const;
  std::string path(const std::string &File) const;

  bool startProxy();
  void setFaults(const std::string &From, const std::string &To,
                 const LinkFaults &Faults);

  int Number;
  bool Proxied;
  bool ServersProxied = false;
  std::vector<std::string> Services;
  std::string Directory;
  boost::asio::io_context Io;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      KeepRunning;
  std::unique_ptr<FakePlatformStore> StandInStore;
  std::unique_ptr<FaultProxy> Proxy;
  std::vector<std::unique_ptr<FakePlatformServer>> Servers;
  std::thread IoThread;
  OwnershipChecker *Ledger = nullptr;
  bool GrantsByCall = false;
  double LinkMbps = 0;
  std::uint64_t MaxBodyBytes = 1000000;
  int FurtherRoutes = 0;
  double ColdRequestsPerSecond = 0;
  std::string MoreSettings;

  /// Home regions of routes, as the elements of a JSON list.
  std::map<std::string, std::string> HomesOfRoute;
  std::map<int, pid_t> Daemons;

  /// Number of starts of each daemon.
  std::map<int, int> Starts;
  BlockingClient Client;
  int LastRequest = 0;
};

} // namespace hemlockspar
