#pragma once

#include "net/HttpClient.h"

namespace hemlockspar {

/// Sends one request at a time and blocks until the response; for command-line
/// programs and tests.
class BlockingClient {
public:
  BlockingClient() : Client(Io, {}) {}

  ExchangeResult exchange(const Address &Server, HttpRequest Request,
                          std::chrono::milliseconds Timeout);

  /// Sends a GET request without a body.
  ExchangeResult get(const Address &Server, const std::string &Target,
                     std::chrono::milliseconds Timeout);

private:
  boost::asio::io_context Io;
  HttpClient Client;
};

} // namespace hemlockspar
