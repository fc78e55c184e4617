#include "net/HttpClient.h"

#include "core/EnumNames.h"
#include "net/Peek.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace hemlockspar {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::string_view TimeoutWord = "timeout=";

/// A request must not meet the server's close of an idle connection.
constexpr auto CloseMargin = std::chrono::milliseconds(1000);

/// Answers to earlier requests that are dropped before the connection is given
/// up.
constexpr int MostForeignAnswers = 3;

constexpr std::array<const char *, 4> OutcomeNames = {"answered", "not_sent",
                                                      "too_late", "ambiguous"};

Duration remaining(TimePoint Deadline) {
  return std::max(Deadline - BootClock::now(), Duration::zero());
}

ExchangeResult failed(ExchangeOutcome Outcome, std::string Error) {
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
    : Io(Io), Bounds(std::move(Bounds)) {}

HttpClient::ConnectionPtr HttpClient::takeIdle(const Address &Server) {
  auto Place = this->Idle.find(Server);
  if (Place == this->Idle.end()) {
    return nullptr;
  }

  std::vector<ConnectionPtr> &Free = Place->second;
  while (!Free.empty()) {
    ConnectionPtr Peer = std::move(Free.back());
    Free.pop_back();
    bool Fresh = BootClock::now() < Peer->UsableUntil;
    if (Fresh && peek(Peer->Peer.socket()) == ConnectionSight::Quiet) {
      return Peer;
    }
  }
  return nullptr;
}

HttpClient::ConnectionPtr
HttpClient::connect(const Address &Server, TimePoint Deadline,
                    error_code &Failure, const asio::yield_context &Yield) {
  auto Endpoint = Server.toEndpoint(Failure);
  auto Peer = std::make_unique<Connection>(this->Io);

  if (!Failure) {
    bindLocal(Peer->Peer.socket(), this->Bounds.LocalHost, Failure);
  }
  if (!Failure) {
    Peer->Peer.expires_after(
        std::min<Duration>(this->Bounds.ConnectTimeout, remaining(Deadline)));
    Peer->Peer.async_connect(Endpoint, Yield[Failure]);
  }
  if (Failure) {
    return nullptr;
  }

  error_code Ignored;
  Peer->Peer.socket().set_option(asio::ip::tcp::no_delay(true), Ignored);
  watchForSilence(Peer->Peer.socket(), this->Bounds.Silence);
  Peer->UsableUntil = BootClock::now() + this->Bounds.MaxIdle;
  return Peer;
}

void HttpClient::giveBack(const Address &Server, ConnectionPtr Peer) {
  std::vector<ConnectionPtr> &Free = this->Idle[Server];
  if (Free.size() < this->Bounds.IdleConnections) {
    Free.push_back(std::move(Peer));
  }
}

TimePoint HttpClient::usableUntil(const HttpResponse &Last) const {
  std::chrono::milliseconds Idle = this->Bounds.MaxIdle;

  // "timeout=5, max=100": the server closes after that many idle seconds.
  std::string Stated = headerOf(Last, "Keep-Alive");
  std::size_t Place = Stated.find("timeout=");
  if (Place != std::string::npos) {
    long Seconds = std::atol(Stated.c_str() + Place + TimeoutWord.size());
    auto Allowed = std::chrono::milliseconds(Seconds * 1000) - CloseMargin;
    Idle = std::min(Idle, std::max(Allowed, std::chrono::milliseconds(0)));
  }
  return BootClock::now() + Idle;
}

ExchangeResult HttpClient::exchange(const Address &Server, HttpRequest &Request,
                                    const ExchangeTerms &Terms,
                                    const asio::yield_context &Yield) {
  error_code Failure;
  CallerWatch *Watch = Terms.Watch;
  ConnectionPtr Peer = this->takeIdle(Server);

  if (!Peer) {
    Peer = this->connect(Server, Terms.Deadline, Failure, Yield);
  }
  if (!Peer) {
    ExchangeResult Result =
        failed(ExchangeOutcome::NotSent, "connect: " + Failure.message());
    Result.Refused = Failure == asio::error::connection_refused;
    return Result;
  }
  if (Watch && Watch->Gone) {
    return failed(ExchangeOutcome::NotSent, "caller gone");
  }

  if (Watch) {
    Watch->OnGone = [Raw = Peer.get()] { Raw->Peer.close(); };
  }
  ExchangeResult Result = this->run(*Peer, Request, Terms, Yield);
  if (Watch) {
    Watch->OnGone = nullptr;
  }

  bool Unused = Result.Outcome == ExchangeOutcome::TooLate;
  bool Reusable =
      Unused || (Result.Outcome == ExchangeOutcome::Answered &&
                 Result.Response.keep_alive() && Peer->Buffer.size() == 0);
  if (Reusable) {
    this->giveBack(Server, std::move(Peer));
  }
  return Result;
}

ExchangeResult HttpClient::run(Connection &Peer, HttpRequest &Request,
                               const ExchangeTerms &Terms,
                               const asio::yield_context &Yield) {
  error_code Error;
  Request.prepare_payload();

  Peer.Peer.expires_after(remaining(Terms.Deadline));

  // The process may have been stopped since the caller of this decided to
  // send; the later this is checked, the less of that is missed.
  if (BootClock::now() >= Terms.SendBefore) {
    Peer.Peer.expires_never();
    return failed(ExchangeOutcome::TooLate, "too late to send");
  }

  http::async_write(Peer.Peer, Request, Yield[Error]);
  if (Error) {
    return failed(ExchangeOutcome::Ambiguous, "send: " + Error.message());
  }

  return this->readAnswer(Peer, Request, Terms, Yield);
}

ExchangeResult HttpClient::readAnswer(Connection &Peer,
                                      const HttpRequest &Request,
                                      const ExchangeTerms &Terms,
                                      const asio::yield_context &Yield) {
  for (int Foreign = 0; Foreign <= MostForeignAnswers; ++Foreign) {
    error_code Error;
    http::response_parser<http::string_body> Parser;
    Parser.body_limit(this->Bounds.BodyBytes);
    if (Request.method() == http::verb::head) {
      Parser.skip(true);
    }

    http::async_read(Peer.Peer, Peer.Buffer, Parser, Yield[Error]);
    if (Error) {
      return failed(ExchangeOutcome::Ambiguous, "receive: " + Error.message());
    }

    HttpResponse Response = Parser.release();
    if (Terms.Belongs && !Terms.Belongs(Response)) {
      continue;
    }

    Peer.Peer.expires_never();
    Peer.UsableUntil = this->usableUntil(Response);
    ExchangeResult Result;
    Result.Outcome = ExchangeOutcome::Answered;
    Result.Response = std::move(Response);
    return Result;
  }
  return failed(ExchangeOutcome::Ambiguous, "answers to other requests only");
}

void HttpClient::forgetOthers(const std::set<Address> &Present) {
  std::erase_if(this->Idle, [&](const auto &Entry) {
    return !Present.contains(Entry.first);
  });
}

void HttpClient::warm(const Address &Server, std::size_t Count,
                      const asio::yield_context &Yield) {
  error_code Failure;

  while (this->Idle[Server].size() < Count) {
    ConnectionPtr Peer = this->connect(
        Server, BootClock::now() + this->Bounds.ConnectTimeout, Failure, Yield);
    if (!Peer) {
      return;
    }
    this->giveBack(Server, std::move(Peer));
  }
}

} // namespace hemlockspar
