#include "net/Acceptor.h"

#include "net/Event.h"

#include <boost/asio/detached.hpp>

namespace hemlockspar {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr int ListenBacklog = 1024;
constexpr auto AcceptRetryDelay = std::chrono::milliseconds(50);

/// Time for a connection that is being closed to end.
constexpr auto CloseDelay = std::chrono::milliseconds(2);

} // namespace

Acceptor::Acceptor(asio::io_context &Io, std::size_t MaxConnections,
                   ConnectionHandler OnConnection,
                   std::function<void()> MakeRoom)
    : Io(Io), MaxConnections(MaxConnections),
      OnConnection(std::move(OnConnection)), MakeRoom(std::move(MakeRoom)),
      Listener(Io) {}

absl::Status Acceptor::listen(const Address &LocalEndpoint) {
  error_code Error;
  auto Endpoint = LocalEndpoint.toEndpoint(Error);

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
    this->Listener.listen(ListenBacklog, Error);
  }
  if (Error) {
    return absl::UnavailableError("cannot listen on " + LocalEndpoint.toText() +
                                  ": " + Error.message());
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
    this->acceptPending();
  }
  error_code Ignored;
  this->Listener.close(Ignored);
}

void Acceptor::acceptPending() {
  error_code Error;
  this->Listener.non_blocking(true, Error);

  while (!Error && this->ConnectionCount < this->MaxConnections) {
    Socket Accepted(this->Io);
    this->Listener.accept(Accepted, Error);
    if (!Error) {
      this->startSession(std::move(Accepted));
    }
  }
}

void Acceptor::startSession(Socket Accepted) {
  ++this->ConnectionCount;
  asio::spawn(
      this->Io,
      [this,
       Peer = std::move(Accepted)](const asio::yield_context &Yield) mutable {
        this->runSession(std::move(Peer), Yield);
      },
      asio::detached);
}

void Acceptor::awaitRoom(const asio::yield_context &Yield) {
  if (!this->MakeRoom) {
    sleepFor(this->Io, AcceptRetryDelay, Yield);
    return;
  }
  error_code Error;
  this->Listener.async_wait(asio::socket_base::wait_read, Yield[Error]);
  if (!Error && this->ConnectionCount >= this->MaxConnections) {
    this->MakeRoom();
    sleepFor(this->Io, CloseDelay, Yield);
  }
}

void Acceptor::acceptLoop(const asio::yield_context &Yield) {
  while (this->Listener.is_open()) {
    if (this->ConnectionCount >= this->MaxConnections) {
      this->awaitRoom(Yield);
      continue;
    }

    error_code Error;
    Socket Accepted(this->Io);
    this->Listener.async_accept(Accepted, Yield[Error]);
    if (Error == asio::error::operation_aborted) {
      return;
    }
    if (Error) {
      sleepFor(this->Io, AcceptRetryDelay, Yield);
      continue;
    }

    this->startSession(std::move(Accepted));
  }
}

void Acceptor::runSession(Socket Peer, const asio::yield_context &Yield) {
  error_code Ignored;
  Peer.set_option(asio::ip::tcp::no_delay(true), Ignored);
  this->OnConnection(std::move(Peer), Yield);
  --this->ConnectionCount;
}

} // namespace hemlockspar
