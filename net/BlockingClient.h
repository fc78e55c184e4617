#pragma once

#include "net/HttpClient.h"

namespace hemlockspar {

/// Sends one request at a time and waits for the answer; for command-line
/// programs and tests.
class BlockingClient {
public:
  BlockingClient() : Client(Io, {}) {}

  ExchangeResult exchange(const Address &Server, HttpRequest Request,
                          std::chrono::milliseconds Timeout);

  /// A request without a body.
  ExchangeResult get(const Address &Server, const std::string &Target,
                     std::chrono::milliseconds Timeout);

private:
  boost::asio::io_context Io;
  HttpClient Client;
};

} // namespace hemlockspar
