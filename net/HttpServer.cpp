#include "net/HttpServer.h"

#include "core/Log.h"
#include "net/Peek.h"
#include "net/ReadRequest.h"

#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

namespace hemlockspar {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::size_t ReadChunkBytes = 4096;

/// How long a draining server waits for the first request of a new connection:
/// about one round trip between regions plus scheduling delay.
constexpr auto FirstRequestTimeout = std::chrono::milliseconds(250);

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
  boost::beast::flat_buffer Buffer{MaxUnparsedBytes};
  bool Busy = false;

  bool HandlerFailed = false;

  /// Whether a request has been answered on this connection.
  bool Used = false;
};

HttpServer::HttpServer(asio::io_context &Io, HttpLimits Limits,
                       Handler OnRequest, MemoryBudgetPtr Memory,
                       std::optional<PipelineLimits> ReadAhead)
    : Limits(Limits),
      Memory(Memory ? std::move(Memory) : std::make_shared<MemoryBudget>()),
      ReadAhead(ReadAhead), OnRequest(std::move(OnRequest)),
      ConnectionAcceptor(
          Io, Limits.MaxConnections,
          [this](asio::ip::tcp::socket Socket,
                 const asio::yield_context &Yield) {
            if (this->ReadAhead) {
              this->servePipelined(std::move(Socket), Yield);
            } else {
              this->serve(std::move(Socket), Yield);
            }
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

void HttpServer::servePipelined(asio::ip::tcp::socket Socket,
                                const asio::yield_context &Yield) {
  MemoryBudget::Reservation Held(this->Memory, HolderKind::Connection);
  if (!Held.grow(ConnectionBytes, BootClock::now())) {
    return;
  }
  Host &Self = *this;
  auto Conn = std::make_shared<PipelinedConnection>(
      Self, *this->ReadAhead, std::move(Socket), this->Memory);
  this->PipelinedConnections.insert(Conn.get());
  Conn->serve(Yield);
  this->PipelinedConnections.erase(Conn.get());
}

std::chrono::milliseconds HttpServer::idleTimeout() const {
  return this->Draining ? FirstRequestTimeout : this->Limits.IdleTimeout;
}

bool HttpServer::serveOne(Connection &Conn, const asio::yield_context &Yield) {
  error_code Error;

  if (Conn.Buffer.size() == 0) {
    Conn.Stream.expires_after(this->idleTimeout());
    std::size_t Count = Conn.Stream.async_read_some(
        Conn.Buffer.prepare(ReadChunkBytes), Yield[Error]);
    if (Error) {
      return false;
    }
    Conn.Buffer.commit(Count);
  }

  Conn.Busy = true;
  Conn.LastProgress = BootClock::now();
  Conn.Stream.expires_after(this->Limits.ReadTimeout);
  MemoryBudget::Reservation Held(this->Memory, HolderKind::Request);
  Held.setDroppable([&Conn] { Conn.Stream.cancel(); }, BootClock::now());
  ReadResult Result = readRequest(
      Conn.Buffer, this->Limits,
      [&](asio::mutable_buffer Space, error_code &ReadError) {
        std::size_t Count =
            Conn.Stream.async_read_some(Space, Yield[ReadError]);
        Conn.LastProgress = BootClock::now();
        return Count;
      },
      Held, this->Memory->largeLimit());
  if (Result.Error) {
    Held.release();
    auto Response = errorResponseFor(Result.Error);
    if (Response) {
      this->send(Conn, *Response, Yield);
    }
    return false;
  }

  HttpRequest &Request = Result.Request;
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

  HttpResponse Response =
      this->runHandler(Request, *Watch, Yield, Conn.HandlerFailed);

  if (Watching) {
    error_code Ignored;
    Watch->OnCancel = nullptr;
    Watch->IsConnectionClosed = nullptr;
    Socket.cancel(Ignored);
  }
  return Response;
}

HttpResponse HttpServer::runHandler(HttpRequest &Request, CallerWatch &Watch,
                                    const asio::yield_context &Yield,
                                    bool &Failed) {
  try {
    return this->OnRequest(Request, Watch, Yield);
  } catch (const std::exception &Exception) {
    // One request must not end the process and all others with it. A coroutine
    // that is being unwound does not throw std::exception.
    LogLine(LogLevel::Error, "net", "handler_failed")
        .with("error", Exception.what());
    Failed = true;
  }
  return problemResponse(http::status::internal_server_error, "internal error",
                         "the request failed");
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
  PipelinedConnection *Pipelined = nullptr;
  for (PipelinedConnection *Conn : this->PipelinedConnections) {
    bool Older = !Pipelined || Conn->lastProgress() < Pipelined->lastProgress();
    if (Older && Conn->isDisplaceable()) {
      Pipelined = Conn;
    }
  }

  // A server has connections of one kind only.
  if (Chosen) {
    Chosen->Displaced = true;
    Chosen->Stream.cancel();
  }
  if (Pipelined) {
    Pipelined->displace();
  }
  this->Displaced += Chosen || Pipelined ? 1 : 0;
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

  for (PipelinedConnection *Conn : this->PipelinedConnections) {
    bool Idle = Conn->isIdle() && (IncludeUnused || Conn->isUsed());
    if (Idle && peek(Conn->socket()) != ConnectionState::Readable) {
      Conn->cancel();
    }
  }
}

} // namespace hemlockspar
