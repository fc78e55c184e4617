#pragma once

#include "net/Acceptor.h"
#include "net/Http.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <set>

namespace hemlockspar {

/// Serves HTTP/1.1 with keep-alive on one address. Each connection runs in a
/// stackful coroutine of its own, one request at a time. Bad input gets an
/// error answer and the connection is closed.
class HttpServer {
public:
  /// Answers one request. Runs within the connection's coroutine and may
  /// suspend it.
  using Handler =
      std::function<HttpResponse(HttpRequest &Request, CallerWatch &Watch,
                                 const boost::asio::yield_context &Yield)>;

  HttpServer(boost::asio::io_context &Io, HttpLimits Limits, Handler OnRequest);

  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Starts to listen. Fails when the address cannot be bound.
  absl::Status listen(const Address &LocalEndpoint) {
    return this->ConnectionAcceptor.listen(LocalEndpoint);
  }

  /// Where it listens, with the port that was chosen for port 0.
  Address localAddress() const {
    return this->ConnectionAcceptor.localAddress();
  }

  /// Bounds of what is read from now on; the number of connections stays.
  void setLimits(const HttpLimits &IncludeUnused) {
    this->Limits = IncludeUnused;
  }

  /// Requests that are being answered.
  std::size_t activeRequestCount() const { return this->ActiveRequests; }

  /// From now on each answer asks its peer to open a new connection.
  void disableKeepAlive() { this->KeepAlive = false; }

  /// Stops accepting; connections are closed after their next answer, idle
  /// ones at once. A request that has arrived is answered, and a connection
  /// that has carried none yet may still bring its first for a moment.
  void drain();

  /// Connections that are open.
  std::size_t connectionCount() const { return this->Connections.size(); }

private:
  using TcpStream = boost::beast::tcp_stream;
  struct Connection;

  void serve(boost::asio::ip::tcp::socket Socket,
             const boost::asio::yield_context &Yield);
  bool serveOne(Connection &Conn, const boost::asio::yield_context &Yield);
  HttpResponse handle(Connection &Conn, HttpRequest &Request,
                      const boost::asio::yield_context &Yield);
  void closeIdle(bool IncludeUnused);
  bool send(Connection &Conn, HttpResponse &Response,
            const boost::asio::yield_context &Yield);

  HttpLimits Limits;
  Handler OnRequest;
  Acceptor ConnectionAcceptor;
  boost::asio::steady_timer FirstRequestTimer;
  bool KeepAlive = true;
  bool Draining = false;
  std::size_t ActiveRequests = 0;
  std::set<Connection *> Connections;
};

} // namespace hemlockspar
