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
  return nameIn(OutcomeNames, Outcome);
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
    if (peek(Peer->Peer.socket()) == ConnectionSight::Quiet) {
      return Peer;
    }
  }
  return nullptr;
}

HttpClient::ConnectionPtr
HttpClient::connect(const Address &Server, TimePoint Deadline,
                    std::string &Error, const asio::yield_context &Yield) {
  error_code Failure;
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
    Error = "connect: " + Failure.message();
    return nullptr;
  }

  Peer->Peer.socket().set_option(asio::ip::tcp::no_delay(true), Failure);
  return Peer;
}

void HttpClient::giveBack(const Address &Server, ConnectionPtr Peer) {
  std::vector<ConnectionPtr> &Free = this->Idle[Server];
  if (Free.size() < this->Bounds.IdleConnections) {
    Free.push_back(std::move(Peer));
  }
}

ExchangeResult HttpClient::exchange(const Address &Server, HttpRequest &Request,
                                    const ExchangeTerms &Terms,
                                    const asio::yield_context &Yield) {
  std::string Error;
  CallerWatch *Watch = Terms.Watch;
  ConnectionPtr Peer = this->takeIdle(Server);

  if (!Peer) {
    Peer = this->connect(Server, Terms.Deadline, Error, Yield);
  }
  if (!Peer) {
    return failed(ExchangeOutcome::NotSent, Error);
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

  http::response_parser<http::string_body> Parser;
  Parser.body_limit(this->Bounds.BodyBytes);
  if (Request.method() == http::verb::head) {
    Parser.skip(true);
  }

  http::async_read(Peer.Peer, Peer.Buffer, Parser, Yield[Error]);
  if (Error) {
    return failed(ExchangeOutcome::Ambiguous, "receive: " + Error.message());
  }

  Peer.Peer.expires_never();

  ExchangeResult Result;
  Result.Outcome = ExchangeOutcome::Answered;
  Result.Response = Parser.release();
  return Result;
}

void HttpClient::forgetOthers(const std::set<Address> &Present) {
  std::erase_if(this->Idle, [&](const auto &Entry) {
    return !Present.contains(Entry.first);
  });
}

void HttpClient::warm(const Address &Server, std::size_t Count,
                      const asio::yield_context &Yield) {
  std::string Error;

  while (this->Idle[Server].size() < Count) {
    ConnectionPtr Peer = this->connect(
        Server, BootClock::now() + this->Bounds.ConnectTimeout, Error, Yield);
    if (!Peer) {
      return;
    }
    this->giveBack(Server, std::move(Peer));
  }
}

} // namespace hemlockspar
