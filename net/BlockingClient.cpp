#include "net/BlockingClient.h"

#include <boost/asio/detached.hpp>

namespace hemlockspar {

ExchangeResult BlockingClient::exchange(const Address &Server,
                                        HttpRequest Request,
                                        std::chrono::milliseconds Timeout) {
  ExchangeResult Result;
  if (Request.find(http::field::host) == Request.end()) {
    Request.set(http::field::host, Server.toText());
  }

  boost::asio::spawn(
      this->Io,
      [&](const boost::asio::yield_context &Yield) {
        Result = this->Client.exchange(
            Server, Request, {.Deadline = BootClock::now() + Timeout}, Yield);
      },
      boost::asio::detached);

  this->Io.restart();
  this->Io.run();
  return Result;
}

ExchangeResult BlockingClient::get(const Address &Server,
                                   const std::string &Target,
                                   std::chrono::milliseconds Timeout) {
  return this->exchange(Server, HttpRequest(http::verb::get, Target, 11),
                        Timeout);
}

} // namespace hemlockspar
