#pragma once

#include "core/BoundedRing.h"
#include "daemon/ForwardPath.h"
#include "daemon/OwnerPath.h"
#include "daemon/Settings.h"
#include "net/HttpServer.h"

namespace hemlockspar {

/// The request path of a daemon: takes requests from callers and from peers,
/// routes each to the key's owner, and sees to it that each gets one whole
/// answer. Owns the request thread's io_context objects; told of ownership by
/// the control thread through a ring.
class RequestPlane {
public:
  RequestPlane(boost::asio::io_context &Io, const Settings &Config,
               Metrics &Counters, BoundedRing<ToRequests> &FromControl,
               BoundedRing<ToControl> &ToControlThread);

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
  Answer route(HttpRequest &Request, const RoutedRequest &Routed,
               CallerWatch &Watch, const boost::asio::yield_context &Yield);
  Answer tryOnce(HttpRequest &Request, const RoutedRequest &Routed,
                 CallerWatch &Watch, const boost::asio::yield_context &Yield);
  bool shouldRetry(const Answer &Result, const RoutedRequest &Routed,
                   const CallerWatch &Watch) const;
  void pause(TimePoint Deadline, const boost::asio::yield_context &Yield);
  void logAnswer(const RoutedRequest &Routed, const Answer &Result,
                 const KeyOwner &Owner) const;
  void count(const Answer &Result);

  void onControl(ToRequests &&Message);
  void onDrain(const DrainAdvanced &Drain);
  void reportFrozen();
  void reportDone();
  void startTimers();
  void every(std::chrono::milliseconds Interval,
             std::function<void(const boost::asio::yield_context &)> Action);
  std::string nextRequestId();

  boost::asio::io_context &Io;
  const Settings &Config;
  Metrics &Counters;
  BoundedRing<ToControl> &ToControlThread;

  std::shared_ptr<const RoutingTable> Table;
  OwnerPath Owned;
  ForwardPath Peers;
  HttpServer CallerServer;
  HttpServer PeerServer;

  /// Requests waiting for ownership to settle.
  std::size_t Waiting = 0;
  /// When the instance had handed everything over and left.
  std::optional<TimePoint> LeftAt;
  std::uint64_t LastRequest = 0;
  std::uint64_t RunMark;
};

} // namespace hemlockspar
