#pragma once

#include "coordination/Slots.h"
#include "net/HttpClient.h"
#include "net/HttpServer.h"
#include "stand_ins/FaultSettings.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <fstream>
#include <map>
#include <set>

namespace hemlockspar {

/// How a backend stand-in behaves.
struct BackendOptions {
  std::string Name;
  std::string Service;
  Address Listen;

  /// API address of the daemon beside it.
  Address Daemon;
  std::uint32_t Capacity = 6;
  bool ChecksGrants = true;
  std::uint64_t MaxRunMs = 0;

  /// Time that a request runs when it does not say.
  std::chrono::microseconds DefaultServiceTime{1000};

  /// Work takes this many times longer in the first moments.
  double ColdStartFactor = 1;
  std::chrono::milliseconds ColdStartTime{0};

  /// Requests beyond the capacity are refused instead of queued.
  bool ShedsLoad = false;

  /// Health is reported as it was this long ago.
  std::chrono::milliseconds HealthLag{0};

  /// Every run is appended here as a JSON line; empty for none.
  std::string RecordPath;
};

/// Stands in for a server that owns keys exclusively. Keeps a counter for
/// each key, checks grants, and records every run for the checker.
class FakeBackendServer {
public:
  FakeBackendServer(boost::asio::io_context &Io, BackendOptions Options);

  absl::Status start();

  /// Announces that it is leaving.
  void beginDrain() { this->Draining = true; }

  bool idle() const { return this->Running == 0; }

private:
  /// What the daemon said with a request.
  struct RequestGrant {
    std::string Keyspace;
    std::uint64_t Slot = 0;
    std::uint64_t Token = 0;
    std::int64_t LeaseUntil = 0;
  };

  HttpResponse onRequest(HttpRequest &Request, CallerWatch &Watch,
                         const boost::asio::yield_context &Yield);
  HttpResponse run(HttpRequest &Request, CallerWatch &Watch,
                   const boost::asio::yield_context &Yield);
  HttpResponse refuse(const std::string &Reason) const;
  bool acquirePermit(CallerWatch &Watch,
                     const boost::asio::yield_context &Yield);
  void releasePermit();
  bool simulateWork(std::chrono::microseconds Span, CallerWatch &Watch,
                    const boost::asio::yield_context &Yield);
  std::optional<std::string> checkGrant(const RequestGrant &Given);

  /// Takes in the grants that the daemon repeats with its renewed lease.
  void updateGrants(const Json::Value &Body);

  /// End of the lease under which \p Given runs, as far as is known here.
  std::int64_t leaseEndNs(const RequestGrant &Given) const;
  std::chrono::microseconds serviceTimeOf(const HttpRequest &Request) const;
  void recordRun(const HttpRequest &Request, const RequestGrant &Given,
                 TimePoint StartedAt, const char *Result);
  void announceLoop(const boost::asio::yield_context &Yield);
  HttpResponse health();

  boost::asio::io_context &Io;
  BackendOptions Options;
  HttpServer Server;
  HttpClient Client;
  FaultSettings Faults;

  TimePoint StartedAt;
  bool Draining = false;
  std::uint32_t Running = 0;
  std::deque<boost::asio::steady_timer *> Waiters;
  std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> HighestToken;
  SlotsByKeyspace GrantedSlots;
  std::int64_t GrantsValidUntilNs = 0;
  std::map<std::string, std::uint64_t> Counters;
  std::deque<std::pair<TimePoint, std::uint32_t>> LoadHistory;
  std::ofstream RecordFile;
};

} // namespace hemlockspar
