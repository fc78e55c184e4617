#include "mesh/PeerViews.h"

#include "core/Log.h"

#include <boost/asio/detached.hpp>

namespace hemlockspar {

namespace asio = boost::asio;

namespace {

/// There and back between regions, with a new connection.
constexpr auto CallTimeout = std::chrono::milliseconds(500);

/// Between two questions: a change is of use within about this time.
constexpr auto AskPause = std::chrono::milliseconds(200);

/// Between two questions for newer owners of keys only: each answer holds the
/// whole map of a service, and an owner before names the new one of a key.
constexpr auto OwnersPause = std::chrono::milliseconds(2000);

HttpClient::Limits limitsFor(const std::string &LocalHost) {
  HttpClient::Limits Bounds;
  Bounds.LocalHost = LocalHost;
  Bounds.MaxIdleConnections = 1;
  Bounds.MaxIdleTime = std::chrono::seconds(20);
  return Bounds;
}

} // namespace

PeerViews::PeerViews(asio::io_context &Io, MeshView &View,
                     const std::string &LocalHost)
    : Io(Io), View(View), Client(Io, limitsFor(LocalHost)) {}

void PeerViews::onMarks(const ViewMarks &Theirs, const Address &Peer) {
  bool Instances = Theirs.Instances > this->View.completeTo(tables::Instances);
  bool Owners = Theirs.Keys > this->View.completeTo(tables::Keys) &&
                BootClock::now() >= this->OwnersDueAt;
  if (Instances || Owners) {
    this->ask(Peer);
  }
}

void PeerViews::ask(const Address &Peer) {
  TimePoint Now = BootClock::now();
  bool Unread = !this->View.wasRead();
  if (this->Asking || Unread || Now < this->NextAskAt) {
    return;
  }

  this->Asking = true;
  this->NextAskAt = Now + AskPause;
  this->OwnersDueAt = Now + OwnersPause;
  asio::spawn(
      this->Io,
      [this, Peer](const asio::yield_context &Yield) {
        HttpRequest Question =
            viewcodec::makeQuestion({this->View.completeTo(tables::Instances),
                                     this->View.completeTo(tables::Keys)});
        ExchangeResult Exchange = this->Client.exchange(
            Peer, Question, {.Deadline = BootClock::now() + CallTimeout},
            Yield);
        this->Asking = false;
        if (Exchange.Outcome == ExchangeOutcome::Answered) {
          this->take(Exchange.Response.body());
        }
      },
      asio::detached);
}

void PeerViews::tell(const TableRow &Row, const Address &Peer) {
  StoreRows One;
  One.Table = Row.Key.substr(0, Row.Key.find('/'));
  One.Rows.push_back(Row);

  asio::spawn(
      this->Io,
      [this, One, Peer](const asio::yield_context &Yield) {
        HttpRequest Telling = viewcodec::makeTelling({One});
        ExchangeResult Exchange = this->Client.exchange(
            Peer, Telling, {.Deadline = BootClock::now() + CallTimeout}, Yield);
        if (Exchange.Outcome != ExchangeOutcome::Answered) {
          LogLine(LogLevel::Info, "view", "telling_failed")
              .with("peer", Peer.toText())
              .with("error", Exchange.Error);
        }
      },
      asio::detached);
}

void PeerViews::take(const std::string &Text) {
  auto Rows = viewcodec::decodeRows(Text);
  if (!Rows) {
    LogLine(LogLevel::Warning, "view", "rows_ignored")
        .with("reason", "another daemon's rows cannot be read");
    return;
  }
  for (const StoreRows &Part : *Rows) {
    this->View.apply(Part);
    this->View.noteComplete(Part.Table, Part.Version);
  }
}

std::optional<HttpResponse> PeerViews::serve(const HttpRequest &Request) {
  if (viewcodec::isTelling(Request)) {
    this->take(Request.body());
    return HttpResponse(http::status::ok, 11);
  }

  auto Known = viewcodec::readQuestion(Request);
  if (!Known) {
    return std::nullopt;
  }
  HttpResponse Response(http::status::ok, 11);
  Response.body() = viewcodec::encodeRows(
      {this->View.rowsAfter(tables::Instances, Known->Instances),
       this->View.rowsAfter(tables::Keys, Known->Keys)});
  return Response;
}

} // namespace hemlockspar
