#pragma once

#include "net/Http.h"
#include "net/MemoryBudget.h"
#include "net/PipelineQueue.h"

#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/serializer.hpp>
#include <map>
#include <memory>

namespace hemlockspar {

/// One connection of a caller that may send further requests before the first
/// is answered. PipelineQueue decides; this class reads, runs each request in
/// a coroutine of its own, and writes. Everything runs on one thread.
class PipelinedConnection
    : public std::enable_shared_from_this<PipelinedConnection> {
public:
  /// The server that the connection belongs to. Must live as long as the
  /// io_context runs.
  class Host {
  public:
    virtual ~Host() = default;

    virtual const HttpLimits &limits() const = 0;

    /// False once connections are to be closed after their next response.
    virtual bool keepsAlive() const = 0;

    /// How long a connection without requests may be idle.
    virtual std::chrono::milliseconds idleTimeout() const = 0;

    /// Runs one request. Sets \p Failed when it ended unexpectedly.
    virtual HttpResponse runHandler(HttpRequest &Request, CallerWatch &Watch,
                                    const boost::asio::yield_context &Yield,
                                    bool &Failed) = 0;

    /// A request was read, or is answered or dropped.
    virtual void onRequestRead() = 0;
    virtual void onRequestEnded() = 0;
  };

  PipelinedConnection(Host &Server, const PipelineLimits &Limits,
                      boost::asio::ip::tcp::socket Socket,
                      MemoryBudgetPtr Memory);

  PipelinedConnection(const PipelinedConnection &) = delete;
  PipelinedConnection &operator=(const PipelinedConnection &) = delete;

  /// Serves the connection until it ends and no handler of it runs.
  void serve(const boost::asio::yield_context &Yield);

  /// Whether no request has been received in part and none is unanswered.
  bool isIdle() const;

  /// Whether a request has been answered.
  bool isUsed() const { return this->Used; }

  /// Whether no request is served or answered, and none that has arrived is
  /// unread: the connection may be closed in favour of another.
  bool isDisplaceable();

  /// When bytes were last received or a response was last completed.
  TimePoint lastProgress() const { return this->LastProgress; }

  /// Closes the connection in favour of another.
  void displace();

  boost::asio::ip::tcp::socket &socket() { return this->Stream.socket(); }

  /// Ends an idle connection.
  void cancel() { this->Stream.cancel(); }

private:
  using Clock = std::chrono::steady_clock;

  struct Exchange {
    HttpRequest Request;
    HttpResponse Response;
    std::shared_ptr<CallerWatch> Watch;

    /// The memory of the request and of the response.
    std::unique_ptr<MemoryBudget::Reservation> RequestHeld;
    std::unique_ptr<MemoryBudget::Reservation> ResponseHeld;
  };
  using ReservationPtr = std::unique_ptr<MemoryBudget::Reservation>;

  bool readNext(const boost::asio::yield_context &Yield);
  bool awaitFirstByte(const boost::asio::yield_context &Yield);
  std::size_t fill(boost::asio::mutable_buffer Space, Clock::time_point &Until,
                   std::size_t &Pending, boost::system::error_code &Error,
                   const boost::asio::yield_context &Yield);
  std::size_t readSome(boost::asio::mutable_buffer Space,
                       boost::system::error_code &Error,
                       const boost::asio::yield_context &Yield);
  void setReadTimer(Clock::time_point Until);
  bool awaitAdding(const boost::asio::yield_context &Yield);
  bool awaitAllowance(std::size_t Pending,
                      const boost::asio::yield_context &Yield);
  bool awaitPermission(const std::function<bool()> &IsPermitted,
                       const boost::asio::yield_context &Yield);
  void addRequest(HttpRequest Request, std::size_t Bytes, ReservationPtr Held);
  void addRefusal(HttpResponse Response);

  void startRequests();
  void run(PipelineNumber Number, const boost::asio::yield_context &Yield);
  void writeNext();
  void writeSome(PipelineNumber Number, bool Closes);
  void onWritten(PipelineNumber Number, bool Closes, bool Failed);

  void awaitChange(const boost::asio::yield_context &Yield);
  void disconnect();
  void awaitEnd(const boost::asio::yield_context &Yield);
  void discardInput(const boost::asio::yield_context &Yield);

  Host &Server;
  MemoryBudgetPtr Memory;
  PipelineQueue Queue;
  boost::beast::tcp_stream Stream;
  boost::beast::flat_buffer Buffer;

  /// The requests of the queue. Those that run stay until their handler ends.
  std::map<PipelineNumber, Exchange> Exchanges;
  std::size_t RunningCount = 0;
  bool Writing = false;
  std::optional<http::response_serializer<http::string_body>> Serializer;
  bool Used = false;
  bool Displaced = false;
  TimePoint LastProgress = BootClock::now();
  bool Disconnected = false;
  bool ReadingRequest = false;

  /// Whether the response that closes the connection has been written.
  bool Closed = false;

  boost::asio::steady_timer Changed;
  boost::asio::steady_timer ReadTimer;
  boost::asio::cancellation_signal ReadCancellation;
  std::uint64_t ReadNumber = 0;
  bool ReadTimedOut = false;
};

} // namespace hemlockspar
