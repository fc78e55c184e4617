#include "net/RpcClient.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace hemlockspar {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::size_t MaxLineBytes = 8 << 20;

/// Maximum number of outstanding calls to one peer; further calls fail at once.
constexpr std::size_t MaxOutstandingPerPeer = 16;

RpcResponse failedCall(const std::string &Error) {
  RpcResponse Response;
  Response.Error = Error;
  return Response;
}

} // namespace

struct RpcClient::Connection {
  explicit Connection(asio::io_context &Io) : Socket(Io), Timer(Io) {}

  asio::ip::tcp::socket Socket;
  asio::steady_timer Timer;
  std::string Input;
  TimePoint LastUsedAt;
  bool Connected = false;
};

RpcClient::RpcClient(asio::io_context &Io, std::string LocalHost)
    : Io(Io), LocalHost(std::move(LocalHost)) {}

void RpcClient::call(const Address &Peer, const std::string &Method,
                     const Json::Value &Params,
                     std::chrono::milliseconds Timeout, Callback OnDone) {
  auto Text = std::make_shared<const std::string>(
      RpcClientCodec::encodeCall(Method, Params));
  this->callEncoded(Peer, std::move(Text), Timeout, std::move(OnDone));
}

void RpcClient::callEncoded(const Address &Peer,
                            std::shared_ptr<const std::string> Text,
                            std::chrono::milliseconds Timeout,
                            Callback OnDone) {
  if (this->OutstandingCalls[Peer] >= MaxOutstandingPerPeer) {
    asio::post(this->Io, [OnDone = std::move(OnDone)] {
      OnDone(failedCall("too many outstanding calls to the peer"));
    });
    return;
  }

  ++this->OutstandingCalls[Peer];
  asio::spawn(
      this->Io,
      [this, Peer, Text = std::move(Text), Timeout,
       OnDone = std::move(OnDone)](const asio::yield_context &Yield) {
        ConnectionPtr Conn = this->acquireConnection(Peer);

        Conn->Timer.expires_after(Timeout);
        Conn->Timer.async_wait([Conn](const error_code &Error) {
          error_code Ignored;
          if (!Error) {
            Conn->Socket.close(Ignored);
          }
        });

        RpcResponse Response = this->exchange(Conn, Peer, *Text, Yield);

        Conn->Timer.cancel();
        --this->OutstandingCalls[Peer];
        if (Conn->Socket.is_open() && Conn->Connected) {
          Conn->LastUsedAt = BootClock::now();
          this->IdleConnections[Peer].push_back(Conn);
        }
        OnDone(Response);
      },
      asio::detached);
}

void RpcClient::closeIdle(Duration MaxIdleTime) {
  TimePoint IdleSince = BootClock::now() - MaxIdleTime;

  for (auto &[Peer, IdleToPeer] : this->IdleConnections) {
    std::erase_if(IdleToPeer, [&](const ConnectionPtr &Conn) {
      return Conn->LastUsedAt < IdleSince;
    });
  }
  std::erase_if(this->IdleConnections,
                [](const auto &Entry) { return Entry.second.empty(); });
  std::erase_if(this->OutstandingCalls,
                [](const auto &Entry) { return Entry.second == 0; });
}

RpcClient::ConnectionPtr RpcClient::acquireConnection(const Address &Peer) {
  std::vector<ConnectionPtr> &IdleToPeer = this->IdleConnections[Peer];
  if (IdleToPeer.empty()) {
    return std::make_shared<Connection>(this->Io);
  }

  ConnectionPtr Conn = IdleToPeer.back();
  IdleToPeer.pop_back();
  return Conn;
}

RpcResponse RpcClient::exchange(const ConnectionPtr &Conn, const Address &Peer,
                                const std::string &Text,
                                const asio::yield_context &Yield) {
  error_code Error;

  if (!Conn->Connected) {
    auto Endpoint = Peer.toEndpoint(Error);
    if (!Error) {
      bindLocalAddress(Conn->Socket, this->LocalHost, Error);
    }
    if (!Error) {
      Conn->Socket.async_connect(Endpoint, Yield[Error]);
    }
    if (Error) {
      Conn->Socket.close(Error);
      return failedCall("connect failed");
    }
    Conn->Connected = true;
    Conn->Socket.set_option(asio::ip::tcp::no_delay(true), Error);
  }

  asio::async_write(Conn->Socket, asio::buffer(Text), Yield[Error]);
  std::size_t Length = 0;
  if (!Error) {
    this->SentBytes += Text.size();
    Length = asio::async_read_until(
        Conn->Socket, asio::dynamic_buffer(Conn->Input, MaxLineBytes), '\n',
        Yield[Error]);
  }
  if (Error) {
    error_code Ignored;
    Conn->Socket.close(Ignored);
    return failedCall("no response: " + Error.message());
  }

  this->ReceivedBytes += Length;
  RpcResponse Response =
      RpcClientCodec::decodeResponse(Conn->Input.substr(0, Length - 1));
  Conn->Input.erase(0, Length);
  // What follows could be taken for the response to the next call.
  if (Response.Malformed || !Conn->Input.empty()) {
    Conn->Socket.close(Error);
  }
  return Response;
}

} // namespace hemlockspar
