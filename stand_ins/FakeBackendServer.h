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

/// Options of a fake backend server.
struct BackendOptions {
  std::string Name;
  std::string Service;
  Address Listen;

  /// Address in its announcements; Listen if it has no port.
  Address Advertised;

  /// API address of the local daemon.
  Address Daemon;
  std::uint32_t Capacity = 6;
  bool ChecksGrants = true;
  std::uint64_t MaxRunMs = 0;

  /// Service time of a request that does not state one.
  std::chrono::microseconds DefaultServiceTime{1000};

  /// Service times are multiplied by this factor for ColdStartTime after the
  /// start.
  double ColdStartFactor = 1;
  std::chrono::milliseconds ColdStartTime{0};

  /// Rejects requests beyond the capacity instead of queueing them.
  bool ShedsLoad = false;

  /// Health responses show the state of this long ago.
  std::chrono::milliseconds HealthLag{0};

  /// File to which each executed request is appended as a JSON line; empty for
  /// none.
  std::string RecordPath;
};

/// Fake of a backend server that owns keys exclusively, for tests. Keeps a
/// counter for each path, checks grants, and records every executed request for
/// the checker.
class FakeBackendServer {
public:
  FakeBackendServer(boost::asio::io_context &Io, BackendOptions Options);

  absl::Status start();

  /// From now on announces to the daemon that it is draining.
  void beginDrain() { this->Draining = true; }

  bool idle() const { return this->Running == 0; }

private:
  /// The grant that the daemon sent in the headers of a request.
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
  bool simulateWork(std::chrono::microseconds ServiceTime, CallerWatch &Watch,
                    const boost::asio::yield_context &Yield);
  std::optional<std::string> checkGrant(const RequestGrant &Grant);

  /// Stores the grants that the daemon sends again when it renews its lease.
  void updateGrants(const Json::Value &Body);

  /// The latest known end of the lease that covers \p Grant, in nanoseconds of
  /// BootClock.
  std::int64_t leaseEndNs(const RequestGrant &Grant) const;
  std::chrono::microseconds serviceTimeOf(const HttpRequest &Request) const;
  void recordRun(const HttpRequest &Request, const RequestGrant &Grant,
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
