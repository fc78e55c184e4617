#pragma once

#include "core/BoundedRing.h"
#include "daemon/LocalRequestHandler.h"
#include "daemon/RequestForwarder.h"
#include "daemon/Settings.h"
#include "net/HttpServer.h"

namespace hemlockspar {

/// Data plane of a daemon: accepts requests from callers and peers, routes each
/// to the owner of its key and returns one complete response to each. Owns the
/// I/O objects of the request thread; the control thread reports ownership
/// through a ring buffer.
class DataPlane {
public:
  DataPlane(boost::asio::io_context &Io, const Settings &Config,
            Metrics &Counters, BoundedRing<RequestThreadMessage> &FromControl,
            BoundedRing<ControlThreadMessage> &ToControlThread);

  /// Listens for callers and peers and starts the timers.
  absl::Status start();

private:
  struct Route {
    const KeyspaceRoute *Keyspace = nullptr;
    KeyOwner Owner;
    bool Here = false;
  };

  HttpResponse onRequest(HttpRequest &Request, CallerWatch &Watch,
                         bool FromPeer,
                         const boost::asio::yield_context &Yield);
  RequestResult route(HttpRequest &Request, const RoutedRequest &Routed,
                      CallerWatch &Watch,
                      const boost::asio::yield_context &Yield);
  RequestResult attemptRequest(HttpRequest &Request,
                               const RoutedRequest &Routed, CallerWatch &Watch,
                               const boost::asio::yield_context &Yield);
  bool shouldRetry(const RequestResult &Result, const RoutedRequest &Routed,
                   const CallerWatch &Watch) const;
  void waitBeforeRetry(TimePoint Deadline,
                       const boost::asio::yield_context &Yield);
  void logResult(const RoutedRequest &Routed, const RequestResult &Result,
                 const KeyOwner &Owner) const;
  void countOutcome(const RequestResult &Result);

  void onControlMessage(RequestThreadMessage &&Message);
  void onDrain(const DrainStateChanged &Drain);
  void reportFrozenSlots();
  void reportConnectionsClosed();
  void startTimers();
  void runPeriodically(
      std::chrono::milliseconds Interval,
      std::function<void(const boost::asio::yield_context &)> Action);
  std::string nextRequestId();

  boost::asio::io_context &Io;
  const Settings &Config;
  Metrics &Counters;
  BoundedRing<ControlThreadMessage> &ToControlThread;

  std::shared_ptr<const RoutingTable> Table;
  LocalRequestHandler LocalHandler;
  RequestForwarder Forwarder;
  HttpServer CallerServer;
  HttpServer PeerServer;

  /// Number of requests that wait for their next attempt.
  std::size_t RequestsAwaitingRetry = 0;
  /// When the instance left, after handing over all slots; reset once all
  /// connections are closed.
  std::optional<TimePoint> LeftAt;
  std::uint64_t LastRequestNumber = 0;
  std::uint64_t ProcessStartNs;
};

} // namespace hemlockspar
