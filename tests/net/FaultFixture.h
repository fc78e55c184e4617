#pragma once

#include "net/Event.h"
#include "net/HttpClient.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace hemlockspar {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// A server that misbehaves as a test scripts it, and a client, both on one
/// thread.
struct FaultFixture {
  /// What the server does with one connection.
  using Script =
      std::function<void(tcp::socket &Socket, const asio::yield_context &)>;

  explicit FaultFixture(Script OnConnection, HttpClient::Limits Bounds = {})
      : Listener(Io, {asio::ip::make_address("127.0.0.1"), 0}),
        OnConnection(std::move(OnConnection)), Client(Io, std::move(Bounds)) {
    this->accept();
  }

  void accept() {
    this->Listener.async_accept(
        [this](const error_code &Error, tcp::socket Socket) {
          if (Error) {
            return;
          }
          ++this->Connections;
          asio::spawn(
              this->Io,
              [this, Peer = std::make_shared<tcp::socket>(std::move(Socket))](
                  const asio::yield_context &Yield) {
                this->OnConnection(*Peer, Yield);
                error_code Ignored;
                Peer->close(Ignored);
              },
              asio::detached);
          this->accept();
        });
  }

  /// Runs \p Steps with the client on the fixture's thread.
  void run(const std::function<void(const asio::yield_context &)> &Steps) {
    asio::spawn(
        this->Io,
        [&](const asio::yield_context &Yield) {
          Steps(Yield);
          this->Io.stop();
        },
        asio::detached);
    this->Io.restart();
    this->Io.run();
  }

  ExchangeResult exchange(const std::string &Id, const std::string &Body,
                          Duration Time, const asio::yield_context &Yield) {
    HttpRequest Request(http::verb::post, "/", 11);
    Request.set("Request-Id", Id);
    Request.body() = Body;
    ExchangeOptions Options = {.Deadline = BootClock::now() + Time};
    Options.RequestId = Id;
    Options.RequestIdOf = [](const HttpResponse &Response) {
      return headerValue(Response, "Request-Id");
    };
    tcp::endpoint At = this->Listener.local_endpoint();
    return this->Client.exchange({"127.0.0.1", At.port()}, Request, Options,
                                 Yield);
  }

  asio::io_context Io;
  tcp::acceptor Listener;
  Script OnConnection;
  int Connections = 0;
  HttpClient Client;
};

inline std::string readHead(tcp::socket &Socket,
                            const asio::yield_context &Yield) {
  std::string Text;
  error_code Error;
  std::size_t Size = asio::async_read_until(Socket, asio::dynamic_buffer(Text),
                                            "\r\n\r\n", Yield[Error]);
  return Error ? "" : Text.substr(0, Size);
}

inline std::string requestIdIn(const std::string &Head) {
  constexpr std::string_view Name = "Request-Id: ";
  std::size_t From = Head.find(Name) + Name.size();
  return Head.substr(From, Head.find('\r', From) - From);
}

inline std::string answer(const std::string &Id, const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + Id +
         "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

inline bool send(tcp::socket &Socket, const std::string &Text,
                 const asio::yield_context &Yield) {
  error_code Error;
  asio::async_write(Socket, asio::buffer(Text), Yield[Error]);
  return !Error;
}

} // namespace hemlockspar
