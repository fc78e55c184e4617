#pragma once

#include "net/HttpClient.h"

namespace hemlockspar {

/// Transport for calls to the platform's store.
class StoreTransport {
public:
  virtual ~StoreTransport() = default;

  /// Sends \p Request and waits up to \p Timeout for the response.
  virtual ExchangeResult exchange(HttpRequest &Request, Duration Timeout,
                                  const boost::asio::yield_context &Yield) = 0;

  /// As exchange, for a read-only call whose response must not wait until a
  /// path to the store has timed out: it may be sent several times.
  virtual ExchangeResult
  exchangeHedged(HttpRequest &Request, Duration Timeout,
                 const boost::asio::yield_context &Yield) = 0;
};

} // namespace hemlockspar
