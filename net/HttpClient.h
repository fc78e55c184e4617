#pragma once

#include "core/Clock.h"
#include "net/Address.h"
#include "net/DeadPeerDetection.h"
#include "net/Http.h"
#include "net/MemoryBudget.h"
#include "net/ResponseHeadCheck.h"

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
  /// The complete response was received.
  Answered,
  /// No byte of the request can have reached the server.
  NotSent,
  /// Like NotSent, because SendBefore had passed.
  TooLate,
  /// The server may have acted on the request.
  Ambiguous,
};

/// Name of \p Outcome for logs.
const char *nameOf(ExchangeOutcome Outcome);

/// Options of one exchange.
struct ExchangeOptions {
  /// The complete response must be received by then, or later as ReceiveTimeout
  /// says.
  TimePoint Deadline;

  /// Nothing is sent from this time on, however long it took to get a
  /// connection.
  TimePoint SendBefore = TimePoint::max();

  /// If set, the exchange is cancelled when this caller disconnects.
  CallerWatch *Watch = nullptr;

  /// If set, reads which request a response answers; empty when the response
  /// does not tell. Responses to other requests, left over on the connection,
  /// are dropped.
  std::function<std::string(const HttpResponse &)> RequestIdOf = {};

  /// With RequestIdOf: the id that the server repeats in its response. It may
  /// be empty and is then not looked for.
  std::string RequestId = {};

  /// If not zero: a response that has begun may take longer than Deadline, by
  /// up to MaxReceiveTime, while no two parts of it are further apart than
  /// this.
  Duration ReceiveTimeout = Duration::zero();
  static constexpr Duration MaxReceiveTime = std::chrono::seconds(10);

  /// If set, called for each part of a large response that is received.
  std::function<void()> OnReceived = {};
};

struct ExchangeResult {
  ExchangeOutcome Outcome = ExchangeOutcome::NotSent;

  /// Set if the outcome is Answered.
  HttpResponse Response;

  /// Set otherwise.
  std::string Error;

  /// With NotSent: the connection was refused, as no process listens at the
  /// address.
  bool ConnectionRefused = false;

  /// With NotSent: no connection was established within ConnectTimeout, though
  /// the deadline had not passed.
  bool ConnectionTimedOut = false;
};

/// Sends requests over pooled connections. A connection carries one exchange
/// at a time and is closed on any ambiguity, so that a response can never be
/// taken for that of another request. Where servers repeat the request's id,
/// this holds for a server that sends a response again later as well: an id is
/// sent once per connection, and a connection on which a response came without
/// one is not used again, so a copy always has the id of another request. Used
/// from one thread.
class HttpClient {
public:
  struct Limits {
    std::chrono::milliseconds ConnectTimeout{250};
    std::size_t MaxIdleConnections = 256;
    std::uint64_t MaxBodyBytes = 16 << 20;

    /// Memory for the bodies of all responses that are being received. A
    /// response that would exceed it is broken off, unless it is small.
    std::uint64_t MaxTotalBodyBytes = 24 << 20;

    /// Where the memory of responses is reserved, in addition; null for none.
    MemoryBudgetPtr Memory;

    /// Number of idle connections to all servers together.
    std::size_t MaxTotalIdleConnections = 1024;

    /// Source IP address of connections; empty for any.
    std::string LocalHost;

    /// A connection is not reused after this idle time; a response may set a
    /// shorter one.
    std::chrono::milliseconds MaxIdleTime{3600000};

    /// Detection of peers that no longer respond.
    DeadPeerOptions DeadPeerDetection;
  };

  HttpClient(boost::asio::io_context &Io, Limits Bounds);

  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Sends \p Request to \p Server and waits for the response.
  ExchangeResult exchange(const Address &Server, HttpRequest &Request,
                          const ExchangeOptions &Options,
                          const boost::asio::yield_context &Yield);

  /// Opens connections to \p Server until \p Count are idle or one fails.
  void preconnect(const Address &Server, std::size_t Count,
                  const boost::asio::yield_context &Yield);

  /// Closes the idle connections to \p Server.
  void closeIdle(const Address &Server) { this->IdleConnections.erase(Server); }

  /// Closes the idle connections to all servers that are not in \p Kept.
  void closeIdleExcept(const std::set<Address> &Kept);

private:
  static constexpr std::size_t MaxUnparsedBytes = 256 << 10;

  /// A connection is closed after this many requests with ids, which it must
  /// remember.
  static constexpr std::size_t MaxIdsPerConnection = 512;

  struct Connection {
    explicit Connection(boost::asio::io_context &Io) : Stream(Io) {}

    boost::beast::tcp_stream Stream;

    /// The limit also bounds what precedes a part of a chunked body.
    boost::beast::flat_buffer Buffer{MaxUnparsedBytes};

    /// The connection is not reused from this time on.
    TimePoint UsableUntil;

    /// Ids of the requests that were sent on this connection.
    std::set<std::string> SentIds;

    /// Whether a later response could be told from copies of earlier ones.
    bool Attributable = true;

    /// Whether the last response had no length, so that the end of the
    /// connection was its end.
    bool EndedResponse = false;
  };
  using ConnectionPtr = std::unique_ptr<Connection>;

  ConnectionPtr acquireIdle(const Address &Server,
                            const ExchangeOptions &Options);
  ConnectionPtr connect(const Address &Server, TimePoint Deadline,
                        boost::system::error_code &Failure,
                        const boost::asio::yield_context &Yield);
  void releaseConnection(const Address &Server, ConnectionPtr Conn);
  TimePoint usableUntil(const HttpResponse &Last) const;
  ExchangeResult sendRequest(Connection &Conn, HttpRequest &Request,
                             const ExchangeOptions &Options,
                             const boost::asio::yield_context &Yield);

  /// Reads the response to \p Request. Interim responses (1xx) and responses to
  /// earlier requests are dropped.
  ExchangeResult readResponse(Connection &Conn, const HttpRequest &Request,
                              const ExchangeOptions &Options,
                              const boost::asio::yield_context &Yield);
  static bool mayCarry(const Connection &Conn, const ExchangeOptions &Options);
  static bool belongsTo(Connection &Conn, const HttpResponse &Response,
                        const ExchangeOptions &Options);
  boost::system::error_code readWhole(Connection &Conn, ResponseParser &Parser,
                                      const ExchangeOptions &Options,
                                      const boost::asio::yield_context &Yield);

  boost::asio::io_context &Io;
  Limits Bounds;

  /// Bytes of the bodies that are being received.
  std::uint64_t TotalBodyBytes = 0;
  std::map<Address, std::vector<ConnectionPtr>> IdleConnections;
};

} // namespace hemlockspar
