#pragma once

#include "daemon/Metrics.h"
#include "daemon/PlaneMessages.h"
#include "daemon/RequestHeaders.h"
#include "daemon/RequestResult.h"
#include "daemon/Settings.h"
#include "net/HttpClient.h"

#include <list>

namespace hemlockspar {

/// Forwards requests to the daemon of the instance that owns their key. Lives
/// as long as the process; runs on the request thread.
class RequestForwarder {
public:
  RequestForwarder(boost::asio::io_context &Io, Metrics &Counters,
                   const Settings &Config);

  RequestResult forward(HttpRequest &Request, const RoutedRequest &Routed,
                        const KeyOwner &Owner, CallerWatch &Watch,
                        const boost::asio::yield_context &Yield);

  /// Cancels exchanges with instances that were lost, since they may never
  /// respond, and closes the idle connections to instances that have left. An
  /// instance that handed a slot over still answers the requests it was sent
  /// before.
  void onRoutingChanged(const RoutingTable &Table);

private:
  struct OutstandingExchange {
    InstanceId Peer;
    std::uint64_t Life = 0;
    CallerWatch *Watch = nullptr;
  };

  RequestResult interpretExchange(ExchangeResult &Exchange);

  HttpClient Client;
  Metrics &Counters;
  std::string Region;
  std::list<OutstandingExchange> OutstandingExchanges;
};

} // namespace hemlockspar
