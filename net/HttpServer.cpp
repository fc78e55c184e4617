#include "net/HttpServer.h"

#include "core/Log.h"
#include "net/BudgetedRead.h"
#include "net/Peek.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

namespace hemlockspar {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::size_t ReadChunkBytes = 4096;
/// Retry-After in seconds of a request for which the memory is short: stalled
/// transfers can be dropped after this time.
constexpr char MemoryRetryAfter[] = "2";
constexpr std::size_t MaxUnparsedBytes = 256 << 10;

/// How long a draining server waits for the first request of a new connection:
/// about one round trip between regions plus scheduling delay.
constexpr auto FirstRequestTimeout = std::chrono::milliseconds(250);

/// Response to a request that could not be read; std::nullopt when the
/// connection just ended.
std::optional<HttpResponse> errorResponseFor(const error_code &Error) {
  if (Error == http::error::header_limit) {
    return problemResponse(http::status::request_header_fields_too_large,
                           "header too large",
                           "the header exceeds the size limit");
  }
  if (Error == BudgetError) {
    HttpResponse Refusal =
        problemResponse(http::status::service_unavailable, "out of memory",
                        "the memory for requests is in use");
    Refusal.set(http::field::retry_after, MemoryRetryAfter);
    return Refusal;
  }
  if (Error == http::error::body_limit) {
    return problemResponse(http::status::payload_too_large, "body too large",
                           "the body exceeds the size limit");
  }
  if (Error == boost::beast::error::timeout) {
    return problemResponse(http::status::request_timeout, "request timeout",
                           "the request was not received in time");
  }

  bool ConnectionEnded = Error == http::error::end_of_stream ||
                         Error == http::error::partial_message ||
                         Error == asio::error::operation_aborted ||
                         Error == asio::error::connection_reset;
  if (ConnectionEnded) {
    return std::nullopt;
  }
  return problemResponse(http::status::bad_request, "bad request",
                         Error.message());
}

/// Whether the end of the request's body is known: it has a length, or chunked
/// is its only transfer coding.
bool hasReadableBody(const HttpRequest &Request) {
  constexpr auto Field = http::field::transfer_encoding;
  std::size_t Count = Request.count(Field);
  return Count == 0 ||
         (Count == 1 && boost::beast::iequals(Request[Field], "chunked"));
}

} // namespace

struct HttpServer::Connection {
  Connection(asio::ip::tcp::socket Socket, const MemoryBudgetPtr &Memory)
      : Stream(std::move(Socket)), Held(Memory, HolderKind::Connection) {}

  TcpStream Stream;
  MemoryBudget::Reservation Held;

  /// When bytes were last received or a response was last completed.
  TimePoint LastProgress = BootClock::now();

  /// A request is being served or its response is being sent.
  bool Serving = false;

  /// The connection is being closed in favour of a new one.
  bool Displaced = false;

  /// The limit also bounds what precedes a part of a chunked body.
  boost::beast::flat_buffer Buffer{MaxUnparsedBytes};
  bool Busy = false;

  bool HandlerFailed = false;

  /// Whether a request has been answered on this connection.
  bool Used = false;
};

HttpServer::HttpServer(asio::io_context &Io, HttpLimits Limits,
                       Handler OnRequest, MemoryBudgetPtr Memory)
    : Limits(Limits),
      Memory(Memory ? std::move(Memory) : std::make_shared<MemoryBudget>()),
      OnRequest(std::move(OnRequest)),
      ConnectionAcceptor(
          Io, Limits.MaxConnections,
          [this](asio::ip::tcp::socket Socket,
                 const asio::yield_context &Yield) {
            this->serve(std::move(Socket), Yield);
          },
          [this] { this->closeLeastActive(); }),
      FirstRequestTimer(Io) {}

void HttpServer::serve(asio::ip::tcp::socket Socket,
                       const asio::yield_context &Yield) {
  Connection Conn(std::move(Socket), this->Memory);
  if (!Conn.Held.grow(ConnectionBytes, BootClock::now())) {
    return;
  }
  this->Connections.insert(&Conn);

  while (this->serveOne(Conn, Yield)) {
  }

  error_code Ignored;
  this->Connections.erase(&Conn);
  Conn.Stream.socket().shutdown(asio::socket_base::shutdown_send, Ignored);
}

bool HttpServer::serveOne(Connection &Conn, const asio::yield_context &Yield) {
  error_code Error;

  if (Conn.Buffer.size() == 0) {
    Conn.Stream.expires_after(this->Draining ? FirstRequestTimeout
                                             : this->Limits.IdleTimeout);
    std::size_t Count = Conn.Stream.async_read_some(
        Conn.Buffer.prepare(ReadChunkBytes), Yield[Error]);
    if (Error) {
      return false;
    }
    Conn.Buffer.commit(Count);
  }

  Conn.Busy = true;
  Conn.LastProgress = BootClock::now();
  HttpRequest Request;
  MemoryBudget::Reservation Held(this->Memory, HolderKind::Request);
  Error = this->readRequest(Conn, Request, Held, Yield);
  if (Error) {
    Held.release();
    this->refuse(Conn, Error, Yield);
    return false;
  }

  bool KeepAlive = Request.keep_alive();
  ++this->ActiveRequests;
  Conn.Serving = true;
  HttpResponse Response = this->handle(Conn, Request, Yield);

  Response.version(Request.version());
  Response.keep_alive(KeepAlive && this->KeepAlive && !Conn.HandlerFailed);
  if (Request.method() == http::verb::head) {
    Response.body().clear();
  }
  Request.body() = std::string();
  Held.release();

  bool Sent = this->send(Conn, Response, Yield);
  --this->ActiveRequests;
  Conn.Serving = false;
  Conn.Busy = false;
  Conn.Used = true;
  Conn.Displaced = false;
  Conn.LastProgress = BootClock::now();
  return Sent && Response.keep_alive();
}

error_code HttpServer::readRequest(Connection &Conn, HttpRequest &Request,
                                   MemoryBudget::Reservation &Held,
                                   const asio::yield_context &Yield) {
  http::request_parser<http::string_body> Parser;
  Parser.header_limit(this->Limits.MaxHeaderBytes);
  Parser.body_limit(this->Limits.MaxBodyBytes);
  Conn.Stream.expires_after(this->Limits.ReadTimeout);
  Held.setDroppable([&Conn] { Conn.Stream.cancel(); }, BootClock::now());

  BudgetedRead<true> Reader(
      Conn.Stream, Conn.Buffer, Held,
      std::min(this->Limits.MaxBodyBytes, this->Memory->largeLimit()));
  error_code Error;
  while (!Error && !Parser.is_done()) {
    Error = Reader.readSome(Parser, Yield);
    Conn.LastProgress = BootClock::now();
  }

  // The body of another coding could not be told from the next request.
  if (!Error && !hasReadableBody(Parser.get())) {
    Error = http::error::bad_transfer_encoding;
  }
  Held.pin();
  if (!Error) {
    Request = Parser.release();
  }
  return Error;
}

void HttpServer::refuse(Connection &Conn, const error_code &Error,
                        const asio::yield_context &Yield) {
  auto Response = errorResponseFor(Error);
  if (!Response) {
    return;
  }
  Response->set("Hemlockspar-Outcome", "not-run");
  Response->keep_alive(false);
  if (auto Omitted = this->ErrorLog.admit(BootClock::now())) {
    LogLine(LogLevel::Info, "net", "bad_request")
        .with("error", Error.message())
        .with("omitted", static_cast<long long>(*Omitted));
  }
  this->send(Conn, *Response, Yield);
}

HttpResponse HttpServer::handle(Connection &Conn, HttpRequest &Request,
                                const asio::yield_context &Yield) {
  auto Watch = std::make_shared<CallerWatch>();
  asio::ip::tcp::socket &Socket = Conn.Stream.socket();
  Conn.Stream.expires_never();

  // A disconnect can be detected only while no input is pending.
  bool Watching = Conn.Buffer.size() == 0;
  if (Watching) {
    Watch->IsConnectionClosed = [&Socket] {
      return peek(Socket) == ConnectionState::Closed;
    };
    Socket.async_wait(asio::socket_base::wait_read,
                      [Watch, &Socket](const error_code &Error) {
                        if (Error || Watch.use_count() == 1 ||
                            peek(Socket) != ConnectionState::Closed) {
                          return;
                        }
                        Watch->Disconnected = true;
                        if (Watch->OnCancel) {
                          Watch->OnCancel();
                        }
                      });
  }

  HttpResponse Response;
  bool Failed = false;
  try {
    Response = this->OnRequest(Request, *Watch, Yield);
  } catch (const std::exception &Exception) {
    // One request must not end the process and all others with it. A coroutine
    // that is being unwound does not throw std::exception.
    LogLine(LogLevel::Error, "net", "handler_failed")
        .with("error", Exception.what());
    Failed = true;
  }
  if (Failed) {
    Conn.HandlerFailed = true;
    Response = problemResponse(http::status::internal_server_error,
                               "internal error", "the request failed");
  }

  if (Watching) {
    error_code Ignored;
    Watch->OnCancel = nullptr;
    Watch->IsConnectionClosed = nullptr;
    Socket.cancel(Ignored);
  }
  return Response;
}

bool HttpServer::send(Connection &Conn, HttpResponse &Response,
                      const asio::yield_context &Yield) {
  error_code Error;
  Response.prepare_payload();
  MemoryBudget::Reservation Held(this->Memory, HolderKind::Response);
  Held.setDroppable([&Conn] { Conn.Stream.close(); }, BootClock::now());
  Held.charge(Response.body().size(), BootClock::now());

  Conn.Stream.expires_after(this->Limits.WriteTimeout);
  http::response_serializer<http::string_body> Serializer(Response);
  while (!Error && !Serializer.is_done()) {
    http::async_write_some(Conn.Stream, Serializer, Yield[Error]);
    Held.onProgress(BootClock::now());
  }
  return !Error && !Held.isDropped();
}

void HttpServer::closeLeastActive() {
  Connection *Chosen = nullptr;
  for (Connection *Conn : this->Connections) {
    bool Closable = !Conn->Serving && !Conn->Displaced &&
                    (Conn->Busy ||
                     peek(Conn->Stream.socket()) != ConnectionState::Readable);
    if (Closable && (!Chosen || Conn->LastProgress < Chosen->LastProgress)) {
      Chosen = Conn;
    }
  }
  if (Chosen) {
    Chosen->Displaced = true;
    ++this->Displaced;
    Chosen->Stream.cancel();
  }
}

void HttpServer::drain() {
  this->KeepAlive = false;
  this->ConnectionAcceptor.close();
  this->closeIdle(false);
  if (this->Draining) {
    return;
  }

  this->Draining = true;
  this->FirstRequestTimer.expires_after(FirstRequestTimeout);
  this->FirstRequestTimer.async_wait([this](const error_code &Error) {
    if (!Error) {
      this->closeIdle(true);
    }
  });
}

void HttpServer::closeIdle(bool IncludeUnused) {
  for (Connection *Conn : this->Connections) {
    bool Idle = !Conn->Busy && (IncludeUnused || Conn->Used);

    // Data that has arrived is read next. A request in it would get no response
    // if the connection were closed now.
    if (Idle && peek(Conn->Stream.socket()) != ConnectionState::Readable) {
      Conn->Stream.cancel();
    }
  }
}

} // namespace hemlockspar
