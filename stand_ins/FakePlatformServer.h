#pragma once

#include "core/Clock.h"
#include "net/HttpClient.h"
#include "net/HttpServer.h"
#include "stand_ins/OwnershipChecker.h"

#include <json/value.h>
#include <mutex>
#include <set>

namespace hemlockspar {

/// What a stand-in of a backend server does wrong, or how it behaves.
struct PlatformServerFaults {
  /// Runs requests and closes the connection in place of an answer.
  bool DropResponses = false;

  /// Refuses requests as if it were full.
  bool RefuseRequests = false;

  /// Answers with the id of another request.
  bool WrongRequestIds = false;

  /// Runs each request a second time.
  bool RunTwice = false;

  /// Sends nothing to the daemon.
  bool SuppressReports = false;

  std::chrono::milliseconds ServiceTime{2};
};

/// A stand-in of a backend server on the operators' platform: reports to the
/// daemon beside it, holds keys by its answers, runs requests. Runs on the
/// thread of its io_context; the other calls may come from any.
class FakePlatformServer {
public:
  struct Config {
    std::string Id;
    std::string Service;
    std::string DataCenter;
    Address At;

    /// Where it reports.
    Address Daemon;
    std::chrono::milliseconds Heartbeat{300};
    std::uint32_t Slots = 6;
  };

  FakePlatformServer(boost::asio::io_context &Io, Config Settings);

  /// Tells \p Ledger what it holds from now on; null for nobody.
  void setOwnershipChecker(OwnershipChecker *Checker) {
    this->Checker = Checker;
  }

  absl::Status start();
  void setFaults(const PlatformServerFaults &Fresh);

  /// From now on it says that it stops.
  void startDraining();

  /// It starts anew as \p Id: it holds nothing, and its counts begin again.
  void restart(const std::string &Id);

  /// Whether it holds \p Key now.
  bool holds(std::uint32_t Key);

  /// Keys that it holds now.
  std::uint32_t heldKeyCount();

  /// Ids of the requests that it ran, in order.
  std::vector<std::string> executedRequests();

  /// Headers of the newest request that it ran.
  std::map<std::string, std::string> lastRequestHeaders();

private:
  HttpResponse serve(HttpRequest &Request,
                     const boost::asio::yield_context &Yield);
  HttpResponse refuse(http::status Status, const std::string &RequestId) const;
  void reportLoop(const boost::asio::yield_context &Yield);
  bool report(const boost::asio::yield_context &Yield);
  Json::Value makeReport();
  bool applyResponse(const Json::Value &Answer, TimePoint SentAt);
  std::int64_t startedAtUnixMs();
  bool holdsLocked(std::uint32_t Key) const;

  boost::asio::io_context &Io;
  Config Settings;
  HttpServer Server;
  HttpClient Client;
  std::mutex Mutex;
  PlatformServerFaults Faults;
  bool Draining = false;
  std::int64_t StartedAtUnixMs;
  std::uint64_t Sequence = 0;
  std::vector<HeldKeyRange> HeldRanges;
  OwnershipChecker *Checker = nullptr;
  Json::Value Released{Json::arrayValue};
  std::uint32_t Running = 0;
  std::vector<std::string> ExecutedRequests;
  std::map<std::string, std::string> LastRequestHeaders;
};

} // namespace hemlockspar
