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
};

} // namespace hemlockspar
