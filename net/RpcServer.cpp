#include "net/RpcServer.h"

#include "net/Listen.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace hemlockspar {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::size_t MaxLineBytes = 8 << 20;
constexpr std::size_t MaxConnections = 4096;
constexpr auto AcceptRetry = std::chrono::milliseconds(50);

} // namespace

RpcServer::RpcServer(asio::io_context &Io, RpcDispatcher &Dispatcher)
    : Io(Io), Dispatcher(Dispatcher), Acceptor(Io) {}

absl::Status RpcServer::listen(const Address &At) {
  absl::Status Listening = listenAt(this->Acceptor, At);
  if (!Listening.ok()) {
    return Listening;
  }

  asio::spawn(
      this->Io,
      [this](const asio::yield_context &Yield) { this->acceptLoop(Yield); },
      asio::detached);
  return absl::OkStatus();
}

void RpcServer::acceptLoop(const asio::yield_context &Yield) {
  asio::steady_timer Pause(this->Io);

  while (true) {
    error_code Error;
    asio::ip::tcp::socket Socket(this->Io);
    this->Acceptor.async_accept(Socket, Yield[Error]);

    if (Error == asio::error::operation_aborted) {
      return;
    }
    if (Error || this->Connections >= MaxConnections) {
      Pause.expires_after(AcceptRetry);
      Pause.async_wait(Yield[Error]);
      continue;
    }

    asio::spawn(
        this->Io,
        [this,
         Peer = std::move(Socket)](const asio::yield_context &Later) mutable {
          this->serve(std::move(Peer), Later);
        },
        asio::detached);
  }
}

void RpcServer::serve(asio::ip::tcp::socket Socket,
                      const asio::yield_context &Yield) {
  error_code Error;
  Socket.set_option(asio::ip::tcp::no_delay(true), Error);
  ++this->Connections;

  std::string Input;
  while (true) {
    std::size_t Length = asio::async_read_until(
        Socket, asio::dynamic_buffer(Input, MaxLineBytes), '\n', Yield[Error]);
    if (Error) {
      break;
    }

    std::string Answer =
        this->Dispatcher.dispatch(Input.substr(0, Length - 1)) + "\n";
    Input.erase(0, Length);
    this->Received += Length;
    this->Sent += Answer.size();

    asio::async_write(Socket, asio::buffer(Answer), Yield[Error]);
    if (Error) {
      break;
    }
  }

  --this->Connections;
}

} // namespace hemlockspar
