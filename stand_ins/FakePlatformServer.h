#pragma once

#include "core/Clock.h"
#include "net/HttpClient.h"
#include "net/HttpServer.h"
#include "stand_ins/HeadFault.h"
#include "stand_ins/OwnershipChecker.h"

#include <json/value.h>
#include <mutex>
#include <set>

namespace hemlockspar {

/// Faults and service time of a fake backend server on the platform.
struct PlatformServerFaults {
  /// Executes requests, but sends the response without Server-Stamp and closes
  /// the connection, so that the daemon does not learn the outcome.
  bool OmitServerStamp = false;

  /// Rejects requests as if it were at its capacity.
  bool RefuseRequests = false;

  /// Responds with the id of another request.
  bool WrongRequestIds = false;

  /// Malforms the heads of all responses.
  HeadFault Head = HeadFault::None;

  /// Records each request as executed twice.
  bool RunTwice = false;

  /// Sends no reports to the daemon.
  bool SuppressReports = false;

  std::chrono::milliseconds ServiceTime{2};

  /// Bodies of responses are filled up to this length.
  std::size_t MinResponseBytes = 0;

  /// Of ten calls that grant or release keys, this many get no answer and are
  /// applied LateCallDelay after their arrival, from which their time counts.
  unsigned LateCallsOfTen = 0;
  std::chrono::milliseconds LateCallDelay{1500};
};

/// Fake of a backend server on the operators' platform, for tests: reports to
/// the local daemon, holds the keys that the responses grant, and executes
/// requests. Runs on the thread of its io_context; the other calls may come
/// from any thread.
class FakePlatformServer {
public:
  struct Config {
    std::string Id;
    std::string Service;
    std::string DataCenter;
    Address At;

    /// Address in its reports; At if it has no port.
    Address Advertised;

    /// Address of the daemon to which it reports.
    Address Daemon;
    std::chrono::milliseconds Heartbeat{300};
    std::uint32_t Slots = 6;

    /// Keys are granted by calls instead of in responses to reports.
    bool GrantsByCall = false;
  };

  FakePlatformServer(boost::asio::io_context &Io, Config Settings);

  /// Reports each change of its keys to \p Checker from now on; null for none.
  void setOwnershipChecker(OwnershipChecker *Checker) {
    this->Checker = Checker;
  }

  absl::Status start();
  void setFaults(const PlatformServerFaults &NewFaults);

  /// Reports that it is draining from now on.
  void startDraining();

  /// The body of a report made now, for a test that delivers it later.
  std::string takeReport();

  /// Simulates a restart under \p Id: it holds no keys, and the sequence of its
  /// reports begins again.
  void restart(const std::string &Id);

  /// It is cold for \p Span from now on, and says so in its reports and in the
  /// responses of its health path.
  void turnCold(std::chrono::milliseconds Span);

  /// The most requests that arrived within any second while it was cold.
  /// Misdirected ones do not count.
  std::size_t mostColdArrivalsInASecond();

  /// Whether it holds \p Key now.
  bool holds(std::uint32_t Key);

  /// Number of keys that it holds now.
  std::uint32_t heldKeyCount();

  /// Ids of the requests that it executed, in order.
  std::vector<std::string> executedRequests();

  /// Headers of the last request that it executed.
  std::map<std::string, std::string> lastRequestHeaders();

private:
  HttpResponse serve(HttpRequest &Request,
                     const boost::asio::yield_context &Yield);
  HttpResponse serveCall(HttpRequest &Request,
                         const boost::asio::yield_context &Yield);
  HttpResponse serveGrantCall(const std::string &Path, const Json::Value &Call,
                              const boost::asio::yield_context &Yield);
  HttpResponse applyGrant(const Json::Value &Call, TimePoint ArrivedAt);
  HttpResponse applyRelease(const Json::Value &Call);
  void dropKeys(std::uint32_t From, std::uint32_t To);
  bool isCallLate();
  HttpResponse refuse(http::status Status, const std::string &RequestId) const;
  void reportLoop(const boost::asio::yield_context &Yield);
  bool report(const boost::asio::yield_context &Yield);
  Json::Value makeReport();
  bool applyResponse(const Json::Value &Answer, TimePoint SentAt);
  std::int64_t startedAtUnixMs();
  bool holdsLocked(std::uint32_t Key) const;
  Duration coldLeft() const;
  HttpResponse health();

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

  /// The highest token seen in a call for each key.
  std::vector<std::uint64_t> SeenTokens = std::vector<std::uint64_t>(KeyCount);
  unsigned GrantCallCount = 0;
  std::uint32_t Running = 0;
  TimePoint ColdUntil;
  std::vector<TimePoint> ColdArrivals;
  std::vector<std::string> ExecutedRequests;
  std::map<std::string, std::string> LastRequestHeaders;
};

} // namespace hemlockspar
