#include "mesh/OfferClient.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <boost/asio/detached.hpp>

namespace hemlockspar {

namespace asio = boost::asio;

namespace {

/// In an offer: the giver's load. In a response: whether the offer is accepted,
/// the receiver's load, and the load that it accepts.
constexpr char OfferHeader[] = "Hs-Offer";
constexpr std::size_t ResponseFields = 3;

/// Covers a round trip between regions on a new connection.
constexpr auto OfferTimeout = std::chrono::milliseconds(400);

HttpClient::Limits limitsFor(const std::string &LocalHost) {
  HttpClient::Limits Bounds;
  Bounds.LocalHost = LocalHost;
  Bounds.MaxIdleConnections = 1;
  Bounds.MaxIdleTime = std::chrono::seconds(20);
  return Bounds;
}

std::optional<double> parseNumber(const std::string &Text) {
  double Number = 0;
  bool Valid =
      absl::SimpleAtod(absl::string_view(Text.data(), Text.size()), &Number);
  return Valid ? std::optional(Number) : std::nullopt;
}

std::optional<OfferResponse> parseResponse(const ExchangeResult &Exchange) {
  if (Exchange.Outcome != ExchangeOutcome::Answered) {
    return std::nullopt;
  }
  std::vector<std::string> Fields =
      absl::StrSplit(headerValue(Exchange.Response, OfferHeader), ' ');
  if (Fields.size() != ResponseFields) {
    return std::nullopt;
  }
  auto Load = parseNumber(Fields[1]);
  auto AcceptedLoad = parseNumber(Fields[2]);
  return Load && AcceptedLoad ? std::optional(OfferResponse{
                                    Fields[0] == "1", *Load, *AcceptedLoad})
                              : std::nullopt;
}

} // namespace

OfferClient::OfferClient(asio::io_context &Io, const std::string &LocalHost)
    : Io(Io), Client(Io, limitsFor(LocalHost)) {}

void OfferClient::send(const Address &Receiver, double Load,
                       ResponseCallback OnDone) {
  HttpRequest Request(http::verb::get, "/", 11);
  Request.set(http::field::host, "peer");
  Request.set(OfferHeader, absl::StrCat(Load));

  asio::spawn(
      this->Io,
      [this, Receiver, Request = std::move(Request),
       OnDone = std::move(OnDone)](const asio::yield_context &Yield) mutable {
        TimePoint Deadline = BootClock::now() + OfferTimeout;
        OnDone(parseResponse(this->Client.exchange(
            Receiver, Request, {.Deadline = Deadline}, Yield)));
      },
      asio::detached);
}

std::optional<double> OfferClient::parseOffer(const HttpRequest &Request) {
  std::string Text = headerValue(Request, OfferHeader);
  return Text.empty() ? std::nullopt : parseNumber(Text);
}

HttpResponse OfferClient::makeResponse(const OfferResponse &Answer) {
  HttpResponse Response(http::status::ok, 11);
  Response.set(OfferHeader,
               absl::StrCat(Answer.Accepted ? 1 : 0, " ", Answer.Load, " ",
                            Answer.AcceptedLoad));
  return Response;
}

} // namespace hemlockspar
