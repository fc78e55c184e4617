#include "net/Acceptor.h"

#include "net/Event.h"

#include <boost/asio/detached.hpp>

namespace hemlockspar {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr int Backlog = 1024;
constexpr auto AcceptRetry = std::chrono::milliseconds(50);

} // namespace

Acceptor::Acceptor(asio::io_context &Io, std::size_t MaxConnections,
                   Session OnConnection)
    : Io(Io), MaxConnections(MaxConnections),
      OnConnection(std::move(OnConnection)), Listener(Io) {}

absl::Status Acceptor::listen(const Address &At) {
  error_code Error;
  auto Endpoint = At.toEndpoint(Error);

  if (!Error) {
    this->Listener.open(Endpoint.protocol(), Error);
  }
  if (!Error) {
    this->Listener.set_option(asio::socket_base::reuse_address(true), Error);
  }
  if (!Error) {
    this->Listener.bind(Endpoint, Error);
  }
  if (!Error) {
    this->Listener.listen(Backlog, Error);
  }
  if (Error) {
    return absl::UnavailableError("cannot listen on " + At.toText() + ": " +
                                  Error.message());
  }

  asio::spawn(
      this->Io,
      [this](const asio::yield_context &Yield) { this->acceptLoop(Yield); },
      asio::detached);
  return absl::OkStatus();
}

Address Acceptor::localAddress() const {
  error_code Error;
  auto Endpoint = this->Listener.local_endpoint(Error);
  if (Error) {
    return {};
  }
  return {Endpoint.address().to_string(), Endpoint.port()};
}

void Acceptor::close() {
  if (this->Listener.is_open()) {
    this->acceptWaiting();
  }
  error_code Ignored;
  this->Listener.close(Ignored);
}

void Acceptor::acceptWaiting() {
  error_code Error;
  this->Listener.non_blocking(true, Error);

  while (!Error && this->Connections < this->MaxConnections) {
    Socket Accepted(this->Io);
    this->Listener.accept(Accepted, Error);
    if (!Error) {
      this->start(std::move(Accepted));
    }
  }
}

void Acceptor::start(Socket Accepted) {
  ++this->Connections;
  asio::spawn(
      this->Io,
      [this,
       Peer = std::move(Accepted)](const asio::yield_context &Yield) mutable {
        this->serve(std::move(Peer), Yield);
      },
      asio::detached);
}

void Acceptor::acceptLoop(const asio::yield_context &Yield) {
  while (this->Listener.is_open()) {
    if (this->Connections >= this->MaxConnections) {
      sleepFor(this->Io, AcceptRetry, Yield);
      continue;
    }

    error_code Error;
    Socket Accepted(this->Io);
    this->Listener.async_accept(Accepted, Yield[Error]);
    if (Error == asio::error::operation_aborted) {
      return;
    }
    if (Error) {
      sleepFor(this->Io, AcceptRetry, Yield);
      continue;
    }

    this->start(std::move(Accepted));
  }
}

void Acceptor::serve(Socket Peer, const asio::yield_context &Yield) {
  error_code Ignored;
  Peer.set_option(asio::ip::tcp::no_delay(true), Ignored);
  this->OnConnection(std::move(Peer), Yield);
  --this->Connections;
}

} // namespace hemlockspar
