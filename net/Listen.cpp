#include "net/Listen.h"

namespace hemlockspar {

namespace asio = boost::asio;

namespace {

constexpr int Backlog = 1024;

} // namespace

absl::Status listenAt(asio::ip::tcp::acceptor &Acceptor, const Address &At) {
  boost::system::error_code Error;
  auto Endpoint = At.toEndpoint(Error);

  if (!Error) {
    Acceptor.open(Endpoint.protocol(), Error);
  }
  if (!Error) {
    Acceptor.set_option(asio::socket_base::reuse_address(true), Error);
  }
  if (!Error) {
    Acceptor.bind(Endpoint, Error);
  }
  if (!Error) {
    Acceptor.listen(Backlog, Error);
  }
  if (Error) {
    return absl::UnavailableError("cannot listen on " + At.toText() + ": " +
                                  Error.message());
  }
  return absl::OkStatus();
}

} // namespace hemlockspar
