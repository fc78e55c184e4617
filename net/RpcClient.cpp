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

/// Calls to one peer that may be outstanding; more are refused at once.
constexpr std::size_t MaxOutstanding = 16;

RpcAnswer failedCall(const std::string &Error) {
  RpcAnswer Answer;
  Answer.Error = Error;
  return Answer;
}

} // namespace

struct RpcClient::Link {
  explicit Link(asio::io_context &Io) : Socket(Io), Timer(Io) {}

  asio::ip::tcp::socket Socket;
  asio::steady_timer Timer;
  std::string Input;
  TimePoint UsedAt;
  bool Connected = false;
};

RpcClient::RpcClient(asio::io_context &Io, std::string LocalHost)
    : Io(Io), LocalHost(std::move(LocalHost)) {}

void RpcClient::call(const Address &Peer, const std::string &Method,
                     const Json::Value &Params,
                     std::chrono::milliseconds Timeout, Done OnDone) {
  auto Text = std::make_shared<const std::string>(
      RpcClientCodec::encodeCall(Method, Params));
  this->callEncoded(Peer, std::move(Text), Timeout, std::move(OnDone));
}

void RpcClient::callEncoded(const Address &Peer,
                            std::shared_ptr<const std::string> Text,
                            std::chrono::milliseconds Timeout, Done OnDone) {
  if (this->Outstanding[Peer] >= MaxOutstanding) {
    asio::post(this->Io, [OnDone = std::move(OnDone)] {
      OnDone(failedCall("too many calls outstanding"));
    });
    return;
  }

  ++this->Outstanding[Peer];
  asio::spawn(
      this->Io,
      [this, Peer, Text = std::move(Text), Timeout,
       OnDone = std::move(OnDone)](const asio::yield_context &Yield) {
        LinkPtr Through = this->takeLink(Peer);

        Through->Timer.expires_after(Timeout);
        Through->Timer.async_wait([Through](const error_code &Error) {
          error_code Ignored;
          if (!Error) {
            Through->Socket.close(Ignored);
          }
        });

        RpcAnswer Answer = this->run(Through, Peer, *Text, Yield);

        Through->Timer.cancel();
        --this->Outstanding[Peer];
        if (Through->Socket.is_open() && Through->Connected) {
          Through->UsedAt = BootClock::now();
          this->Idle[Peer].push_back(Through);
        }
        OnDone(Answer);
      },
      asio::detached);
}

void RpcClient::closeIdle(Duration Age) {
  TimePoint Oldest = BootClock::now() - Age;

  for (auto &[Peer, Free] : this->Idle) {
    std::erase_if(Free,
                  [&](const LinkPtr &Kept) { return Kept->UsedAt < Oldest; });
  }
  std::erase_if(this->Idle,
                [](const auto &Entry) { return Entry.second.empty(); });
  std::erase_if(this->Outstanding,
                [](const auto &Entry) { return Entry.second == 0; });
}

RpcClient::LinkPtr RpcClient::takeLink(const Address &Peer) {
  std::vector<LinkPtr> &Free = this->Idle[Peer];
  if (Free.empty()) {
    return std::make_shared<Link>(this->Io);
  }

  LinkPtr Through = Free.back();
  Free.pop_back();
  return Through;
}

RpcAnswer RpcClient::run(const LinkPtr &Through, const Address &Peer,
                         const std::string &Text,
                         const asio::yield_context &Yield) {
  error_code Error;

  if (!Through->Connected) {
    auto Endpoint = Peer.toEndpoint(Error);
    if (!Error) {
      bindLocal(Through->Socket, this->LocalHost, Error);
    }
    if (!Error) {
      Through->Socket.async_connect(Endpoint, Yield[Error]);
    }
    if (Error) {
      Through->Socket.close(Error);
      return failedCall("connect failed");
    }
    Through->Connected = true;
    Through->Socket.set_option(asio::ip::tcp::no_delay(true), Error);
  }

  asio::async_write(Through->Socket, asio::buffer(Text), Yield[Error]);
  std::size_t Length = 0;
  if (!Error) {
    this->Sent += Text.size();
    Length = asio::async_read_until(
        Through->Socket, asio::dynamic_buffer(Through->Input, MaxLineBytes),
        '\n', Yield[Error]);
  }
  if (Error) {
    error_code Ignored;
    Through->Socket.close(Ignored);
    return failedCall("no answer: " + Error.message());
  }

  this->Received += Length;
  RpcAnswer Answer =
      RpcClientCodec::decodeAnswer(Through->Input.substr(0, Length - 1));
  Through->Input.erase(0, Length);
  return Answer;
}

} // namespace hemlockspar
