#include "net/HttpServer.h"

#include "core/Log.h"
#include "net/Peek.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace hemlockspar {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::size_t FirstReadBytes = 4096;

/// While a server drains, a new connection's first request is awaited this
/// long: about the way there and back between regions, and some scheduling.
constexpr auto FirstRequestWait = std::chrono::milliseconds(250);

/// The answer to a request that could not be read; nothing when the
/// connection simply ended.
std::optional<HttpResponse> responseToBadInput(const error_code &Error) {
  if (Error == http::error::header_limit) {
    return problemResponse(http::status::request_header_fields_too_large,
                           "header too large", "the header passes the limit");
  }
  if (Error == http::error::body_limit) {
    return problemResponse(http::status::payload_too_large, "body too large",
                           "the body passes the limit");
  }
  if (Error == boost::beast::error::timeout) {
    return problemResponse(http::status::request_timeout, "request timeout",
                           "the request was not sent in time");
  }

  bool Ended = Error == http::error::end_of_stream ||
               Error == http::error::partial_message ||
               Error == asio::error::operation_aborted ||
               Error == asio::error::connection_reset;
  if (Ended) {
    return std::nullopt;
  }
  return problemResponse(http::status::bad_request, "bad request",
                         Error.message());
}

} // namespace

struct HttpServer::Connection {
  explicit Connection(asio::ip::tcp::socket Socket) : Peer(std::move(Socket)) {}

  Stream Peer;
  boost::beast::flat_buffer Buffer;
  bool Busy = false;

  /// A request was answered on it.
  bool Used = false;
};

HttpServer::HttpServer(asio::io_context &Io, HttpLimits Limits,
                       Handler OnRequest)
    : Limits(Limits), OnRequest(std::move(OnRequest)),
      Incoming(
          Io, Limits.Connections,
          [this](asio::ip::tcp::socket Peer, const asio::yield_context &Yield) {
            this->serve(std::move(Peer), Yield);
          }),
      LastRequests(Io) {}

void HttpServer::serve(asio::ip::tcp::socket Socket,
                       const asio::yield_context &Yield) {
  Connection Peer(std::move(Socket));
  this->Streams.insert(&Peer);

  while (this->serveOne(Peer, Yield)) {
  }

  error_code Ignored;
  this->Streams.erase(&Peer);
  Peer.Peer.socket().shutdown(asio::socket_base::shutdown_send, Ignored);
}

bool HttpServer::serveOne(Connection &Peer, const asio::yield_context &Yield) {
  error_code Error;

  if (Peer.Buffer.size() == 0) {
    Peer.Peer.expires_after(this->Draining ? FirstRequestWait
                                           : this->Limits.IdleTimeout);
    std::size_t Count = Peer.Peer.async_read_some(
        Peer.Buffer.prepare(FirstReadBytes), Yield[Error]);
    if (Error) {
      return false;
    }
    Peer.Buffer.commit(Count);
  }

  Peer.Busy = true;
  http::request_parser<http::string_body> Parser;
  Parser.header_limit(this->Limits.HeaderBytes);
  Parser.body_limit(this->Limits.BodyBytes);

  Peer.Peer.expires_after(this->Limits.ReadTimeout);
  http::async_read(Peer.Peer, Peer.Buffer, Parser, Yield[Error]);

  if (Error) {
    auto Response = responseToBadInput(Error);
    if (Response) {
      Response->set("Hemlockspar-Outcome", "not-run");
      Response->keep_alive(false);
      LogLine(LogLevel::Info, "net", "bad_request")
          .with("error", Error.message());
      this->send(Peer, *Response, Yield);
    }
    return false;
  }

  HttpRequest Request = Parser.release();
  bool KeepAlive = Request.keep_alive();
  ++this->Busy;
  HttpResponse Response = this->handle(Peer, Request, Yield);

  Response.version(Request.version());
  Response.keep_alive(KeepAlive && this->KeepAlive);
  if (Request.method() == http::verb::head) {
    Response.body().clear();
  }

  bool Sent = this->send(Peer, Response, Yield);
  --this->Busy;
  Peer.Busy = false;
  Peer.Used = true;
  return Sent && Response.keep_alive();
}

HttpResponse HttpServer::handle(Connection &Peer, HttpRequest &Request,
                                const asio::yield_context &Yield) {
  auto Watch = std::make_shared<CallerWatch>();
  asio::ip::tcp::socket &Socket = Peer.Peer.socket();
  Peer.Peer.expires_never();

  // Only an idle socket can show that the caller has gone.
  bool Watching = Peer.Buffer.size() == 0;
  if (Watching) {
    Socket.async_wait(asio::socket_base::wait_read,
                      [Watch, &Socket](const error_code &Error) {
                        if (Error || Watch.use_count() == 1 ||
                            peek(Socket) != ConnectionSight::Closed) {
                          return;
                        }
                        Watch->Gone = true;
                        if (Watch->OnGone) {
                          Watch->OnGone();
                        }
                      });
  }

  HttpResponse Response = this->OnRequest(Request, *Watch, Yield);

  if (Watching) {
    error_code Ignored;
    Watch->OnGone = nullptr;
    Socket.cancel(Ignored);
  }
  return Response;
}

bool HttpServer::send(Connection &Peer, HttpResponse &Response,
                      const asio::yield_context &Yield) {
  error_code Error;
  Response.prepare_payload();
  Peer.Peer.expires_after(this->Limits.WriteTimeout);
  http::async_write(Peer.Peer, Response, Yield[Error]);
  return !Error;
}

void HttpServer::drain() {
  this->KeepAlive = false;
  this->Incoming.close();
  this->closeIdle(false);
  if (this->Draining) {
    return;
  }

  this->Draining = true;
  this->LastRequests.expires_after(FirstRequestWait);
  this->LastRequests.async_wait([this](const error_code &Error) {
    if (!Error) {
      this->closeIdle(true);
    }
  });
}

void HttpServer::closeIdle(bool Fresh) {
  for (Connection *Peer : this->Streams) {
    bool Idle = !Peer->Busy && (Fresh || Peer->Used);

    // What has arrived is read next; closed now, it would get no answer.
    if (Idle && peek(Peer->Peer.socket()) != ConnectionSight::DataWaiting) {
      Peer->Peer.cancel();
    }
  }
}

} // namespace hemlockspar
