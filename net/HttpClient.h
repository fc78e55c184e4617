#pragma once

#include "core/Clock.h"
#include "net/Address.h"
#include "net/DeadPeerDetection.h"
#include "net/Http.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace hemlockspar {

/// How an exchange with an HTTP server ended.
enum class ExchangeOutcome {
  /// The whole answer is here.
  Answered,
  /// No byte of the request can have reached the server.
  NotSent,
  /// As NotSent, because the last moment to send it had passed.
  TooLate,
  /// The server may have acted on the request.
  Ambiguous,
};

/// Name of \p Outcome for logs.
const char *nameOf(ExchangeOutcome Outcome);

/// Bounds of one exchange.
struct ExchangeOptions {
  /// The whole answer must be here by then.
  TimePoint Deadline;

  /// Nothing is sent from this moment on, however long the way to the
  /// connection took.
  TimePoint SendBefore = TimePoint::max();

  /// When given and its caller goes, the exchange is cancelled.
  CallerWatch *Watch = nullptr;

  /// When given, tells whether an answer is the one to this request; others,
  /// left over from earlier requests, are dropped.
  std::function<bool(const HttpResponse &)> MatchesRequest = {};
};

struct ExchangeResult {
  ExchangeOutcome Outcome = ExchangeOutcome::NotSent;

  /// Set when the outcome is Answered.
  HttpResponse Response;

  /// Set otherwise.
  std::string Error;

  /// With NotSent: no process listens at the address.
  bool ConnectionRefused = false;
};

/// Sends requests over pooled connections. A connection carries one exchange
/// at a time and is closed on any ambiguity, so that an answer can never
/// reach another request. Used from one thread.
class HttpClient {
public:
  struct Limits {
    std::chrono::milliseconds ConnectTimeout{250};
    std::size_t MaxIdleConnections = 256;
    std::uint64_t MaxBodyBytes = 16 << 20;

    /// Connections leave from this IP address; empty for any.
    std::string LocalHost;

    /// A connection is not used again after this long without a request; an
    /// answer may state less.
    std::chrono::milliseconds MaxIdleTime{3600000};

    /// How connections that have gone silent are noticed.
    DeadPeerOptions DeadPeerDetection;
  };

  HttpClient(boost::asio::io_context &Io, Limits Bounds);

  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Sends \p Request to \p Server and waits for the answer within \p Terms.
  ExchangeResult exchange(const Address &Server, HttpRequest &Request,
                          const ExchangeOptions &Options,
                          const boost::asio::yield_context &Yield);

  /// Opens connections to \p Server until \p Count are idle.
  void preconnect(const Address &Server, std::size_t Count,
                  const boost::asio::yield_context &Yield);

  /// Closes the idle connections to \p Server.
  void closeIdle(const Address &Server) { this->IdleConnections.erase(Server); }

  /// Closes the idle connections to all servers but \p Present.
  void closeIdleExcept(const std::set<Address> &Kept);

private:
  struct Connection {
    explicit Connection(boost::asio::io_context &Io) : Stream(Io) {}

    boost::beast::tcp_stream Stream;
    boost::beast::flat_buffer Buffer;

    /// Not to be used again from then on.
    TimePoint UsableUntil;
  };
  using ConnectionPtr = std::unique_ptr<Connection>;

  ConnectionPtr acquireIdle(const Address &Server);
  ConnectionPtr connect(const Address &Server, TimePoint Deadline,
                        boost::system::error_code &Failure,
                        const boost::asio::yield_context &Yield);
  void releaseConnection(const Address &Server, ConnectionPtr Conn);
  TimePoint usableUntil(const HttpResponse &Last) const;
  ExchangeResult sendRequest(Connection &Conn, HttpRequest &Request,
                             const ExchangeOptions &Options,
                             const boost::asio::yield_context &Yield);
  ExchangeResult readResponse(Connection &Conn, const HttpRequest &Request,
                              const ExchangeOptions &Options,
                              const boost::asio::yield_context &Yield);

  boost::asio::io_context &Io;
  Limits Bounds;
  std::map<Address, std::vector<ConnectionPtr>> IdleConnections;
};

} // namespace hemlockspar
