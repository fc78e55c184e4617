#pragma once

#include "core/BoundedRing.h"
#include "daemon/LocalRequestHandler.h"
#include "daemon/RequestForwarder.h"
#include "daemon/Settings.h"
#include "net/HttpServer.h"

namespace hemlockspar {

/// The request path of a daemon: takes requests from callers and from peers,
/// routes each to the key's owner, and sees to it that each gets one whole
/// answer. Owns the request thread's io_context objects; told of ownership by
/// the control thread through a ring.
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
  void logAnswer(const RoutedRequest &Routed, const RequestResult &Result,
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

  /// Requests waiting for ownership to settle.
  std::size_t RequestsAwaitingRetry = 0;
  /// When the instance had handed everything over and left.
  std::optional<TimePoint> LeftAt;
  std::uint64_t LastRequestNumber = 0;
  std::uint64_t ProcessStartNs;
};

} // namespace hemlockspar
