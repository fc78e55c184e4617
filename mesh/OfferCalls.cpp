#include "mesh/OfferCalls.h"

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
  Bounds.MaxIdleConnections = 1;
  Bounds.MaxIdleTime = std::chrono::seconds(20);
  return Bounds;
}

std::optional<double> numberOf(const std::string &Text) {
  double Number = 0;
  bool Sound =
      absl::SimpleAtod(absl::string_view(Text.data(), Text.size()), &Number);
  return Sound ? std::optional(Number) : std::nullopt;
}

std::optional<OfferAnswer> readAnswer(const ExchangeResult &Exchange) {
  if (Exchange.Outcome != ExchangeOutcome::Answered) {
    return std::nullopt;
  }
  std::vector<std::string> Fields =
      absl::StrSplit(headerValue(Exchange.Response, Header), ' ');
  if (Fields.size() != AnswerFields) {
    return std::nullopt;
  }
  auto Load = numberOf(Fields[1]);
  auto Part = numberOf(Fields[2]);
  return Load && Part
             ? std::optional(OfferAnswer{Fields[0] == "1", *Load, *Part})
             : std::nullopt;
}

} // namespace

OfferCalls::OfferCalls(asio::io_context &Io, const std::string &LocalHost)
    : Io(Io), Client(Io, limitsFor(LocalHost)) {}

void OfferCalls::send(const Address &Receiver, double Load, Done OnDone) {
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

std::optional<double> OfferCalls::readOffer(const HttpRequest &Request) {
  std::string Text = headerValue(Request, Header);
  return Text.empty() ? std::nullopt : numberOf(Text);
}

HttpResponse OfferCalls::writeAnswer(const OfferAnswer &Answer) {
  HttpResponse Response(http::status::ok, 11);
  Response.set(Header, absl::StrCat(Answer.Taken ? 1 : 0, " ", Answer.Load, " ",
                                    Answer.Part));
  return Response;
}

} // namespace hemlockspar
