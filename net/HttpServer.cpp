#include "net/HttpServer.h"

#include "core/Log.h"
#include "net/Peek.h"
#include "net/ReadRequest.h"

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
  explicit Connection(asio::ip::tcp::socket Socket)
      : Stream(std::move(Socket)) {}

  TcpStream Stream;
  boost::beast::flat_buffer Buffer{MaxUnparsedBytes};
  bool Busy = false;

  bool HandlerFailed = false;

  /// Whether a request has been answered on this connection.
  bool Used = false;
};

HttpServer::HttpServer(asio::io_context &Io, HttpLimits Limits,
                       Handler OnRequest,
                       std::optional<PipelineLimits> ReadAhead)
    : Limits(Limits), ReadAhead(ReadAhead), OnRequest(std::move(OnRequest)),
      ConnectionAcceptor(Io, Limits.MaxConnections,
                         [this](asio::ip::tcp::socket Socket,
                                const asio::yield_context &Yield) {
                           if (this->ReadAhead) {
                             this->servePipelined(std::move(Socket), Yield);
                           } else {
                             this->serve(std::move(Socket), Yield);
                           }
                         }),
      FirstRequestTimer(Io) {}

void HttpServer::serve(asio::ip::tcp::socket Socket,
                       const asio::yield_context &Yield) {
  Connection Conn(std::move(Socket));
  this->Connections.insert(&Conn);

  while (this->serveOne(Conn, Yield)) {
  }

  error_code Ignored;
  this->Connections.erase(&Conn);
  Conn.Stream.socket().shutdown(asio::socket_base::shutdown_send, Ignored);
}

void HttpServer::servePipelined(asio::ip::tcp::socket Socket,
                                const asio::yield_context &Yield) {
  Host &Self = *this;
  auto Conn = std::make_shared<PipelinedConnection>(Self, *this->ReadAhead,
                                                    std::move(Socket));
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
  Conn.Stream.expires_after(this->Limits.ReadTimeout);
  ReadResult Result =
      readRequest(Conn.Buffer, this->Limits,
                  [&](asio::mutable_buffer Space, error_code &ReadError) {
                    return Conn.Stream.async_read_some(Space, Yield[ReadError]);
                  });
  if (Result.Error) {
    auto Response = errorResponseFor(Result.Error);
    if (Response) {
      this->send(Conn, *Response, Yield);
    }
    return false;
  }

  HttpRequest &Request = Result.Request;
  bool KeepAlive = Request.keep_alive();
  ++this->ActiveRequests;
  HttpResponse Response = this->handle(Conn, Request, Yield);

  Response.version(Request.version());
  Response.keep_alive(KeepAlive && this->KeepAlive && !Conn.HandlerFailed);
  if (Request.method() == http::verb::head) {
    Response.body().clear();
  }

  bool Sent = this->send(Conn, Response, Yield);
  --this->ActiveRequests;
  Conn.Busy = false;
  Conn.Used = true;
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
  Conn.Stream.expires_after(this->Limits.WriteTimeout);
  http::async_write(Conn.Stream, Response, Yield[Error]);
  return !Error;
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
