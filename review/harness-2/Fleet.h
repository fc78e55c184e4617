#pragma once

#include "review/harness-2/Backend.h"

#include "net/BlockingClient.h"
#include "stand_ins/FakePlatformStore.h"
#include "stand_ins/FaultProxy.h"

#include <boost/asio/executor_work_guard.hpp>
#include <memory>
#include <sys/types.h>

namespace review {

/// The answer that a consumer saw; status 0 when there was none.
struct Answer {
  unsigned Status = 0;
  std::string Stamp;
  std::string Body;
};

/// A small deployment on loopback addresses that were free: a stand-in of the
/// platform's store, one daemon process a machine with the command of the
/// deploy file, one backend server beside each, and proxies on the links
/// between daemons and to the store. Ends all of it when destroyed.
class Fleet {
public:
  struct Settings {
    /// The service of the backend server on each machine. "menus" is keyed.
    std::vector<std::string> Services;

    /// Applied to the settings of each backend server.
    std::function<void(Backend::Settings &)> Adjust;
  };

  Fleet(Settings Own, Record &Out);
  ~Fleet();

  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  /// Starts all and waits until all is ready and all keys are held.
  bool start();

  /// Writes manifest \p Version as the operator does.
  void declare(int Version);

  /// Sends one consumer attempt on the machine \p Index.
  Answer send(hemlockspar::BlockingClient &Client, int Index,
              const std::string &Method, const std::string &Path,
              std::optional<std::uint32_t> Key = std::nullopt);

  /// Sends a status report of another writer to the daemon \p Index.
  unsigned report(int Index, const std::string &Id, const std::string &Body);

  /// Cuts the machine \p Index off from the store and from all others, with
  /// resets, or heals its links.
  void setCut(int Index, bool Cut);

  /// Kills all daemons, and starts them again after \p Down.
  void restartDaemons(Milliseconds Down,
                      const std::function<void()> &Meanwhile);

  /// Ends the backend server on machine \p Index for good.
  void loseBackend(int Index);

  bool areAllReady();

  hemlockspar::FakePlatformStore &store() { return *this->Store; }
  Backend &backend(int Index) { return *this->Backends.at(Index); }
  Backend::Runs &runs() { return this->Begun; }
  Ledger &ledger() { return this->Owners; }
  const Ledger &ledger() const { return this->Owners; }
  int count() const { return static_cast<int>(this->Own.Services.size()); }
  hemlockspar::Address serverAddress(int Index) const;

  /// The machine whose backend server holds \p Key; -1 for none.
  int holderOf(std::uint32_t Key) const;
  bool waitUntil(const std::function<bool()> &Condition, Milliseconds Limit);

private:
  hemlockspar::Address at(int Part, int Index, std::uint16_t Port) const;
  bool openStore();
  bool openProxy();
  bool openBackends();
  void writeSettings(int Index) const;
  void startDaemon(int Index);
  bool isReady(int Index);
  std::string pathOf(int Index, const std::string &Suffix) const;
  void setLink(const std::string &From, const std::string &To, bool Cut);

  Settings Own;
  Record &Out;
  int Network = 0;
  std::string Directory;
  boost::asio::io_context Io;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      KeepRunning;
  std::unique_ptr<hemlockspar::FakePlatformStore> Store;
  std::unique_ptr<hemlockspar::FaultProxy> Proxy;
  Backend::Runs Begun;
  Ledger Owners;
  std::vector<std::unique_ptr<Backend>> Backends;
  std::thread IoThread;
  std::atomic<bool> Ending{false};
  std::thread Sampler;
  std::vector<pid_t> Daemons;
  hemlockspar::BlockingClient Client;
  std::atomic<int> LastRequest{0};
};

/// Whether the case is to be run with its disruption.
bool isTroubled();

/// Writes the verdict; returns the exit code: 1 when the rule was broken.
int finish(Record &Out, bool Broken, const std::string &Summary);

} // namespace review
