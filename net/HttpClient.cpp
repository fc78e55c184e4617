#include "net/HttpClient.h"

#include "core/EnumNames.h"
#include "net/BudgetedRead.h"
#include "net/Event.h"
#include "net/Peek.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace hemlockspar {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::string_view TimeoutParameter = "timeout=";

/// Connections are dropped this long before the server's idle timeout, so that
/// no request is sent while the server closes the connection.
constexpr auto IdleCloseMargin = std::chrono::milliseconds(1000);

/// Number of responses to earlier requests that are dropped before the
/// connection is closed.
constexpr int MaxUnmatchedResponses = 3;

constexpr std::array<const char *, 4> OutcomeNames = {"answered", "not_sent",
                                                      "too_late", "ambiguous"};

/// Lower statuses are those of interim responses.
constexpr unsigned MinFinalStatus = 200;

/// A response body up to this size is received whatever the others occupy.
constexpr std::uint64_t SmallBodyBytes = 64 << 10;

/// The receipt of a response body is reported once it exceeds this size.
constexpr std::uint64_t ReportedBodyBytes = 16 << 10;

/// Progress of sending a request.
struct SendState {
  explicit SendState(asio::io_context &Io) : Done(Io) {}

  Event Done;
  bool Finished = false;
  error_code Error;
};

Duration remaining(TimePoint Deadline) {
  return std::max(Deadline - BootClock::now(), Duration::zero());
}

ExchangeResult failedExchange(ExchangeOutcome Outcome, std::string Error) {
  ExchangeResult Result;
  Result.Outcome = Outcome;
  Result.Error = std::move(Error);
  return Result;
}

} // namespace

const char *nameOf(ExchangeOutcome Outcome) {
  return enumName(OutcomeNames, Outcome);
}

HttpClient::HttpClient(asio::io_context &Io, Limits Bounds)
    : Io(Io), Bounds(std::move(Bounds)) {
  if (!this->Bounds.Memory) {
    this->Bounds.Memory = std::make_shared<MemoryBudget>();
  }
}

bool HttpClient::mayCarry(const Connection &Conn,
                          const ExchangeOptions &Options) {
  bool Identified = !Options.RequestIdOf || !Options.RequestId.empty();
  return Identified && !Conn.SentIds.contains(Options.RequestId);
}

HttpClient::ConnectionPtr
HttpClient::acquireIdle(const Address &Server, const ExchangeOptions &Options) {
  auto Found = this->IdleConnections.find(Server);
  if (Found == this->IdleConnections.end()) {
    return nullptr;
  }

  std::vector<ConnectionPtr> &IdleToServer = Found->second;
  for (std::size_t Index = IdleToServer.size(); Index-- > 0;) {
    bool Usable = BootClock::now() < IdleToServer[Index]->UsableUntil;
    bool Open = Usable && peek(IdleToServer[Index]->Stream.socket()) ==
                              ConnectionState::Idle;
    if (Open && !mayCarry(*IdleToServer[Index], Options)) {
      continue;
    }
    ConnectionPtr Conn = std::move(IdleToServer[Index]);
    IdleToServer.erase(IdleToServer.begin() +
                       static_cast<std::ptrdiff_t>(Index));
    if (Open) {
      return Conn;
    }
  }
  return nullptr;
}

HttpClient::ConnectionPtr
HttpClient::connect(const Address &Server, TimePoint Deadline,
                    error_code &Failure, const asio::yield_context &Yield) {
  auto Endpoint = Server.toEndpoint(Failure);
  auto Conn = std::make_unique<Connection>(this->Io);

  if (!Failure) {
    bindLocalAddress(Conn->Stream.socket(), this->Bounds.LocalHost, Failure);
  }
  if (!Failure) {
    Conn->Stream.expires_after(
        std::min<Duration>(this->Bounds.ConnectTimeout, remaining(Deadline)));
    Conn->Stream.async_connect(Endpoint, Yield[Failure]);
  }
  if (Failure) {
    return nullptr;
  }

  error_code Ignored;
  Conn->Stream.socket().set_option(asio::ip::tcp::no_delay(true), Ignored);
  enableDeadPeerDetection(Conn->Stream.socket(),
                          this->Bounds.DeadPeerDetection);
  Conn->UsableUntil = BootClock::now() + this->Bounds.MaxIdleTime;
  return Conn;
}

void HttpClient::releaseConnection(const Address &Server, ConnectionPtr Conn) {
  std::size_t Total = 0;
  for (const auto &[Other, Idle] : this->IdleConnections) {
    Total += Idle.size();
  }
  std::vector<ConnectionPtr> &IdleToServer = this->IdleConnections[Server];
  if (IdleToServer.size() < this->Bounds.MaxIdleConnections &&
      Total < this->Bounds.MaxTotalIdleConnections) {
    IdleToServer.push_back(std::move(Conn));
  }
}

TimePoint HttpClient::usableUntil(const HttpResponse &Last) const {
  std::chrono::milliseconds IdleLimit = this->Bounds.MaxIdleTime;

  // "timeout=5, max=100": the server closes the connection after 5 idle
  // seconds.
  std::string KeepAliveHeader = headerValue(Last, "Keep-Alive");
  std::size_t Found = KeepAliveHeader.find("timeout=");
  if (Found != std::string::npos) {
    long Seconds =
        std::atol(KeepAliveHeader.c_str() + Found + TimeoutParameter.size());
    auto Allowed = std::chrono::milliseconds(Seconds * 1000) - IdleCloseMargin;
    IdleLimit =
        std::min(IdleLimit, std::max(Allowed, std::chrono::milliseconds(0)));
  }
  return BootClock::now() + IdleLimit;
}

ExchangeResult HttpClient::exchange(const Address &Server, HttpRequest &Request,
                                    const ExchangeOptions &Options,
                                    const asio::yield_context &Yield) {
  error_code Failure;
  CallerWatch *Watch = Options.Watch;
  ConnectionPtr Conn = this->acquireIdle(Server, Options);

  if (!Conn) {
    Conn = this->connect(Server, Options.Deadline, Failure, Yield);
  }
  if (!Conn) {
    ExchangeResult Result = failedExchange(ExchangeOutcome::NotSent,
                                           "connect: " + Failure.message());
    Result.ConnectionRefused = Failure == asio::error::connection_refused;
    Result.ConnectionTimedOut = Failure == boost::beast::error::timeout &&
                                BootClock::now() < Options.Deadline;
    return Result;
  }
  if (Watch && Watch->Disconnected) {
    return failedExchange(ExchangeOutcome::NotSent,
                          "the caller has disconnected");
  }

  if (Watch) {
    Watch->OnCancel = [Raw = Conn.get()] { Raw->Stream.close(); };
  }
  ExchangeResult Result = this->sendRequest(*Conn, Request, Options, Yield);
  if (Watch) {
    Watch->OnCancel = nullptr;
  }

  bool NothingSent = Result.Outcome == ExchangeOutcome::TooLate;
  bool Reusable = NothingSent || (Result.Outcome == ExchangeOutcome::Answered &&
                                  Result.Response.keep_alive() &&
                                  !Conn->EndedResponse && Conn->Attributable &&
                                  Conn->SentIds.size() < MaxIdsPerConnection &&
                                  Conn->Buffer.size() == 0);
  if (Reusable) {
    this->releaseConnection(Server, std::move(Conn));
  }
  return Result;
}

ExchangeResult HttpClient::sendRequest(Connection &Conn, HttpRequest &Request,
                                       const ExchangeOptions &Options,
                                       const asio::yield_context &Yield) {
  Request.prepare_payload();

  Conn.Stream.expires_after(remaining(Options.Deadline));

  // The process may have been suspended since the decision to send, so this is
  // checked as late as possible.
  if (BootClock::now() >= Options.SendBefore) {
    Conn.Stream.expires_never();
    return failedExchange(ExchangeOutcome::TooLate,
                          "the last time to send has passed");
  }

  if (Options.RequestIdOf) {
    Conn.SentIds.insert(Options.RequestId);
  }

  // The response is read meanwhile: a server may answer before it has read a
  // long body, and read no further.
  auto Sending = std::make_shared<SendState>(this->Io);
  http::async_write(Conn.Stream, Request,
                    [Sending](const error_code &Error, std::size_t) {
                      Sending->Error = Error;
                      Sending->Finished = true;
                      Sending->Done.set();
                    });
  ExchangeResult Result = this->readResponse(Conn, Request, Options, Yield);
  bool Unfinished = !Sending->Finished;
  if (Unfinished) {
    Conn.Stream.close();
    Sending->Done.wait(Yield);
  }
  if (Result.Outcome != ExchangeOutcome::Answered) {
    return Result;
  }

  // The server cannot have received the whole request, whatever the end of the
  // connection looked like to the read.
  if (Conn.EndedResponse && Sending->Error) {
    return failedExchange(ExchangeOutcome::Ambiguous,
                          "receive: the connection ended before the request "
                          "was sent: " +
                              Sending->Error.message());
  }
  if (Unfinished || Sending->Error) {
    Result.Response.keep_alive(false);
  }
  Conn.Stream.expires_never();
  return Result;
}

error_code HttpClient::readWhole(Connection &Conn, ResponseParser &Parser,
                                 const ExchangeOptions &Options,
                                 const asio::yield_context &Yield) {
  error_code Error;
  std::uint64_t Counted = 0;
  MemoryBudget::Reservation Held(this->Bounds.Memory, HolderKind::Response);
  BudgetedRead Reader(
      Conn.Stream, Conn.Buffer, Held,
      std::min(this->Bounds.MaxBodyBytes, this->Bounds.Memory->largeLimit()));

  while (!Error && !Parser.is_done()) {
    Error = Reader.readSome(Parser, Yield);
    if (!Error && Options.OnReceived &&
        Parser.get().body().size() > ReportedBodyBytes) {
      Options.OnReceived();
    }
    if (!Error && Options.ReceiveTimeout > Duration::zero()) {
      Conn.Stream.expires_after(std::min(
          std::max(remaining(Options.Deadline), Options.ReceiveTimeout),
          remaining(Options.Deadline + ExchangeOptions::MaxReceiveTime)));
    }
    if (!Held.isDroppable() && Parser.is_header_done()) {
      // Until the first byte a server computes; from then on it must send.
      Held.setDroppable([&Conn] { Conn.Stream.close(); }, BootClock::now());
    }
    std::uint64_t Size = Parser.get().body().size();
    this->TotalBodyBytes += Size - Counted;
    Counted = Size;
    bool TooLarge = Size > SmallBodyBytes &&
                    this->TotalBodyBytes > this->Bounds.MaxTotalBodyBytes;
    if (!Error && TooLarge) {
      Error = http::error::body_limit;
    }
  }
  this->TotalBodyBytes -= Counted;
  return Error;
}

bool HttpClient::belongsTo(Connection &Conn, const HttpResponse &Response,
                           const ExchangeOptions &Options) {
  if (!Options.RequestIdOf) {
    return true;
  }
  std::string Id = Options.RequestIdOf(Response);
  if (Id.empty()) {
    // All earlier responses on this connection had ids, so this is no copy of
    // one of them; but a later response could be a copy of this one.
    Conn.Attributable = false;
    return true;
  }
  return Id == Options.RequestId;
}

ExchangeResult HttpClient::readResponse(Connection &Conn,
                                        const HttpRequest &Request,
                                        const ExchangeOptions &Options,
                                        const asio::yield_context &Yield) {
  for (int Unmatched = 0; Unmatched <= MaxUnmatchedResponses; ++Unmatched) {
    ResponseParser Parser;
    Parser.body_limit(this->Bounds.MaxBodyBytes);
    if (Request.method() == http::verb::head) {
      Parser.skip(true);
    }

    error_code Error = this->readWhole(Conn, Parser, Options, Yield);
    if (Error) {
      return failedExchange(ExchangeOutcome::Ambiguous,
                            "receive: " + Error.message());
    }

    bool EndedWithConnection = Parser.need_eof();
    if (EndedWithConnection && !isClosedInOrder(Conn.Stream.socket())) {
      return failedExchange(ExchangeOutcome::Ambiguous,
                            "receive: the connection was not closed in order");
    }

    HttpResponse Response = Parser.release();
    bool IsInterim = Response.result_int() < MinFinalStatus;
    if (IsInterim || !belongsTo(Conn, Response, Options)) {
      continue;
    }

    Conn.EndedResponse = EndedWithConnection;
    Conn.UsableUntil = this->usableUntil(Response);
    ExchangeResult Result;
    Result.Outcome = ExchangeOutcome::Answered;
    Result.Response = std::move(Response);
    return Result;
  }
  return failedExchange(ExchangeOutcome::Ambiguous,
                        "received only responses to other requests");
}

void HttpClient::closeIdleExcept(const std::set<Address> &Kept) {
  std::erase_if(this->IdleConnections,
                [&](const auto &Entry) { return !Kept.contains(Entry.first); });
}

void HttpClient::preconnect(const Address &Server, std::size_t Count,
                            const asio::yield_context &Yield) {
  error_code Failure;

  while (this->IdleConnections[Server].size() < Count) {
    ConnectionPtr Conn = this->connect(
        Server, BootClock::now() + this->Bounds.ConnectTimeout, Failure, Yield);
    if (!Conn) {
      return;
    }
    this->releaseConnection(Server, std::move(Conn));
  }
}

} // namespace hemlockspar
