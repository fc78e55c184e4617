#include "mesh/PeerViewSync.h"

#include "core/Log.h"

#include <boost/asio/detached.hpp>

namespace hemlockspar {

namespace asio = boost::asio;

namespace {

/// Covers a round trip between regions on a new connection.
constexpr auto CallTimeout = std::chrono::milliseconds(500);

/// Minimum time between two pull requests: a change is of use within about this
/// time.
constexpr auto MinPullInterval = std::chrono::milliseconds(200);

/// Minimum time between two pull requests made only for newer key maps: each
/// response contains the whole key map of a service, and a previous owner names
/// the new owner of a key anyway.
constexpr auto MinOwnersPullInterval = std::chrono::milliseconds(2000);

HttpClient::Limits limitsFor(const std::string &LocalHost,
                             const MemoryBudgetPtr &Memory) {
  HttpClient::Limits Bounds;
  Bounds.Memory = Memory;
  Bounds.LocalHost = LocalHost;
  Bounds.MaxIdleConnections = 1;
  Bounds.MaxIdleTime = std::chrono::seconds(20);
  return Bounds;
}

} // namespace

PeerViewSync::PeerViewSync(asio::io_context &Io, MeshView &View,
                           const std::string &LocalHost,
                           const MemoryBudgetPtr &Memory)
    : Io(Io), View(View), Client(Io, limitsFor(LocalHost, Memory)) {}

void PeerViewSync::onPeerVersions(const ViewVersions &Theirs,
                                  const Address &Peer) {
  bool Instances =
      Theirs.Instances > this->View.completeVersion(tables::Instances);
  bool Owners = Theirs.Keys > this->View.completeVersion(tables::Keys) &&
                BootClock::now() >= this->NextOwnersPullAt;
  if (Instances || Owners) {
    this->pullFrom(Peer);
  }
}

void PeerViewSync::pullFrom(const Address &Peer) {
  TimePoint Now = BootClock::now();
  bool Incomplete = !this->View.hasReadBothTables();
  if (this->PullPending || Incomplete || Now < this->NextPullAt) {
    return;
  }

  this->PullPending = true;
  this->NextPullAt = Now + MinPullInterval;
  this->NextOwnersPullAt = Now + MinOwnersPullInterval;
  asio::spawn(
      this->Io,
      [this, Peer](const asio::yield_context &Yield) {
        HttpRequest Request = viewcodec::makePullRequest(
            {this->View.completeVersion(tables::Instances),
             this->View.completeVersion(tables::Keys)});
        ExchangeResult Exchange =
            this->Client.exchange(Peer, Request,
                                  {.Deadline = BootClock::now() + CallTimeout,
                                   .ReceiveTimeout = CallTimeout},
                                  Yield);
        this->PullPending = false;
        if (Exchange.Outcome == ExchangeOutcome::Answered) {
          this->applyRows(Exchange.Response.body());
        }
      },
      asio::detached);
}

void PeerViewSync::pushTo(const TableRow &Row, const Address &Peer) {
  StoreRows Rows;
  Rows.Table = Row.Key.substr(0, Row.Key.find('/'));
  Rows.Rows.push_back(Row);

  asio::spawn(
      this->Io,
      [this, Rows, Peer](const asio::yield_context &Yield) {
        HttpRequest Request = viewcodec::makePushRequest({Rows});
        ExchangeResult Exchange = this->Client.exchange(
            Peer, Request, {.Deadline = BootClock::now() + CallTimeout}, Yield);
        if (Exchange.Outcome != ExchangeOutcome::Answered) {
          LogLine(LogLevel::Info, "view", "telling_failed")
              .with("peer", Peer.toText())
              .with("error", Exchange.Error);
        }
      },
      asio::detached);
}

void PeerViewSync::applyRows(const std::string &Text) {
  auto Rows = viewcodec::decodeRows(Text);
  if (!Rows) {
    LogLine(LogLevel::Warning, "view", "rows_ignored")
        .with("reason", "rows from another daemon are malformed");
    return;
  }
  for (const StoreRows &Part : *Rows) {
    this->View.apply(Part);
    this->View.markComplete(Part.Table, Part.Version);
  }
}

std::optional<HttpResponse> PeerViewSync::handle(const HttpRequest &Request) {
  if (viewcodec::isPushRequest(Request)) {
    this->applyRows(Request.body());
    return HttpResponse(http::status::ok, 11);
  }

  auto Known = viewcodec::parsePullRequest(Request);
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
