#include "mesh/OfferClient.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <boost/asio/detached.hpp>

namespace hemlockspar {

namespace asio = boost::asio;

namespace {

/// On a call: the giver's load. On an answer: whether the offer is taken, and
/// the
/// receiver's load and the part that it takes.
constexpr char Header[] = "Hs-Offer";
constexpr std::size_t AnswerFields = 3;

/// There and back between regions, with a new connection.
constexpr auto OfferTimeout = std::chrono::milliseconds(400);

HttpClient::Limits limitsFor(const std::string &LocalHost) {
  HttpClient::Limits Bounds;
  Bounds.LocalHost = LocalHost;
  Bounds.IdleConnections = 1;
  Bounds.MaxIdle = std::chrono::seconds(20);
  return Bounds;
}

std::optional<double> numberOf(const std::string &Text) {
  double Number = 0;
  bool Sound =
      absl::SimpleAtod(absl::string_view(Text.data(), Text.size()), &Number);
  return Sound ? std::optional(Number) : std::nullopt;
}

std::optional<OfferResponse> readAnswer(const ExchangeResult &Exchange) {
  if (Exchange.Outcome != ExchangeOutcome::Answered) {
    return std::nullopt;
  }
  std::vector<std::string> Fields =
      absl::StrSplit(headerOf(Exchange.Response, Header), ' ');
  if (Fields.size() != AnswerFields) {
    return std::nullopt;
  }
  auto Load = numberOf(Fields[1]);
  auto Part = numberOf(Fields[2]);
  return Load && Part
             ? std::optional(OfferResponse{Fields[0] == "1", *Load, *Part})
             : std::nullopt;
}

} // namespace

OfferClient::OfferClient(asio::io_context &Io, const std::string &LocalHost)
    : Io(Io), Client(Io, limitsFor(LocalHost)) {}

void OfferClient::send(const Address &Receiver, double Load,
                       ResponseCallback OnDone) {
  HttpRequest Request(http::verb::get, "/", 11);
  Request.set(http::field::host, "peer");
  Request.set(Header, absl::StrCat(Load));

  asio::spawn(
      this->Io,
      [this, Receiver, Request = std::move(Request),
       OnDone = std::move(OnDone)](const asio::yield_context &Yield) mutable {
        TimePoint Deadline = BootClock::now() + OfferTimeout;
        OnDone(readAnswer(this->Client.exchange(
            Receiver, Request, {.Deadline = Deadline}, Yield)));
      },
      asio::detached);
}

std::optional<double> OfferClient::parseOffer(const HttpRequest &Request) {
  std::string Text = headerOf(Request, Header);
  return Text.empty() ? std::nullopt : numberOf(Text);
}

HttpResponse OfferClient::makeResponse(const OfferResponse &Answer) {
  HttpResponse Response(http::status::ok, 11);
  Response.set(Header, absl::StrCat(Answer.Accepted ? 1 : 0, " ", Answer.Load,
                                    " ", Answer.AcceptedLoad));
  return Response;
}

} // namespace hemlockspar
