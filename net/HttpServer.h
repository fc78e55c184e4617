#pragma once

#include "net/Acceptor.h"
#include "net/Http.h"
#include "net/MemoryBudget.h"
#include "net/PipelinedConnection.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <set>

namespace hemlockspar {

/// Serves HTTP/1.1 with keep-alive on one address. Each connection runs in its
/// own stackful coroutine, one request at a time unless the server reads ahead.
/// A malformed request gets an error response and its connection is closed.
class HttpServer : private PipelinedConnection::Host {
public:
  /// Handles one request. Runs in the coroutine of the connection and may
  /// suspend it.
  using Handler =
      std::function<HttpResponse(HttpRequest &Request, CallerWatch &Watch,
                                 const boost::asio::yield_context &Yield)>;

  /// With \p ReadAhead, requests are read before those ahead of them are
  /// answered, and requests that are safe to abandon run side by side. Each of
  /// them then runs in a coroutine of its own.
  /// What connections hold is reserved in \p Memory, if set.
  HttpServer(boost::asio::io_context &Io, HttpLimits Limits, Handler OnRequest,
             MemoryBudgetPtr Memory = nullptr,
             std::optional<PipelineLimits> ReadAhead = std::nullopt);

  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Starts listening. Fails when the address cannot be bound.
  absl::Status listen(const Address &LocalEndpoint) {
    return this->ConnectionAcceptor.listen(LocalEndpoint);
  }

  /// The local address, with the port that the system chose for port 0.
  Address localAddress() const {
    return this->ConnectionAcceptor.localAddress();
  }

  /// Sets the limits for requests read from now on. The maximum number of
  /// connections does not change.
  void setLimits(const HttpLimits &NewLimits) { this->Limits = NewLimits; }

  /// Number of requests in progress.
  std::size_t activeRequestCount() const { return this->ActiveRequests; }

  /// From now on each response has "Connection: close".
  void disableKeepAlive() { this->KeepAlive = false; }

  /// Stops accepting. Connections are closed after their next response, idle
  /// ones at once. A request that has arrived is still served, and a connection
  /// that has carried no request yet may send its first one for a short time.
  void drain();

  /// Number of connections closed in favour of new ones.
  std::uint64_t displacedCount() const { return this->Displaced; }

  /// Number of open connections.
  std::size_t connectionCount() const {
    return this->Connections.size() + this->PipelinedConnections.size();
  }

private:
  using TcpStream = boost::beast::tcp_stream;
  struct Connection;

  void serve(boost::asio::ip::tcp::socket Socket,
             const boost::asio::yield_context &Yield);
  void servePipelined(boost::asio::ip::tcp::socket Socket,
                      const boost::asio::yield_context &Yield);
  void closeLeastActive();
  bool serveOne(Connection &Conn, const boost::asio::yield_context &Yield);
  HttpResponse handle(Connection &Conn, HttpRequest &Request,
                      const boost::asio::yield_context &Yield);
  void closeIdle(bool IncludeUnused);
  bool send(Connection &Conn, HttpResponse &Response,
            const boost::asio::yield_context &Yield);

  // PipelinedConnection::Host
  const HttpLimits &limits() const override { return this->Limits; }
  bool keepsAlive() const override { return this->KeepAlive; }
  std::chrono::milliseconds idleTimeout() const override;
  HttpResponse runHandler(HttpRequest &Request, CallerWatch &Watch,
                          const boost::asio::yield_context &Yield,
                          bool &Failed) override;
  void onRequestRead() override { ++this->ActiveRequests; }
  void onRequestEnded() override { --this->ActiveRequests; }

  HttpLimits Limits;
  MemoryBudgetPtr Memory;
  std::optional<PipelineLimits> ReadAhead;
  std::uint64_t Displaced = 0;
  Handler OnRequest;
  Acceptor ConnectionAcceptor;
  boost::asio::steady_timer FirstRequestTimer;
  bool KeepAlive = true;
  bool Draining = false;
  std::size_t ActiveRequests = 0;
  std::set<Connection *> Connections;
  std::set<PipelinedConnection *> PipelinedConnections;
};

} // namespace hemlockspar
