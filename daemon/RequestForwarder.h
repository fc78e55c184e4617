#pragma once

#include "daemon/Metrics.h"
#include "daemon/PlaneMessages.h"
#include "daemon/RequestHeaders.h"
#include "daemon/RequestResult.h"
#include "daemon/Settings.h"
#include "net/HttpClient.h"

#include <list>

namespace hemlockspar {

/// Sends requests to the daemon of the key's owner. Lives as long as the
/// process; runs on the request thread.
class RequestForwarder {
public:
  RequestForwarder(boost::asio::io_context &Io, Metrics &Counters,
                   const Settings &Config);

  RequestResult forward(HttpRequest &Request, const RoutedRequest &Routed,
                        const KeyOwner &Owner, CallerWatch &Watch,
                        const boost::asio::yield_context &Yield);

  /// Gives up exchanges with instances that were lost, as their answer may
  /// never come, and closes the idle connections to those that have left. An
  /// instance that handed a slot over answers what it was sent before.
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
