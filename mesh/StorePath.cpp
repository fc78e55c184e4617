#include "mesh/StorePath.h"

#include "core/Log.h"

#include <absl/strings/str_cat.h>

namespace hemlockspar {

namespace asio = boost::asio;

namespace {

namespace relay {
/// On a call: it is meant for the store; its value is the time for it, in
/// milliseconds. On an answer: how the call went.
constexpr char Call[] = "Hemlockspar-Store-Call";
constexpr char Result[] = "Hemlockspar-Store-Result";
} // namespace relay

/// While the store does not answer, it is asked again this often.
constexpr auto DirectRetry = std::chrono::milliseconds(1000);

/// Peers asked for one call.
constexpr std::size_t MostPeers = 2;

/// Added to the time of a relayed call, for the way to the peer.
constexpr auto RelaySlack = std::chrono::milliseconds(300);

HttpClient::Limits limitsFor(const std::string &LocalHost) {
  HttpClient::Limits Bounds;
  Bounds.LocalHost = LocalHost;
  Bounds.MaxIdleConnections = 4;
  Bounds.MaxIdleTime = std::chrono::seconds(30);

  // A connection on which changes are awaited must show within about two
  // seconds that it has gone silent: configurations are due sooner than in 3.
  Bounds.DeadPeerDetection.UnacknowledgedTimeout =
      std::chrono::milliseconds(1000);
  Bounds.DeadPeerDetection.ProbeInterval = std::chrono::seconds(1);
  return Bounds;
}

/// Whether the store served the call, whatever it said.
bool isServed(const ExchangeResult &Result) {
  bool Answered = Result.Outcome == ExchangeOutcome::Answered;
  return Answered &&
         Result.Response.result() != http::status::service_unavailable &&
         Result.Response.result() != http::status::too_many_requests;
}

bool changesNothing(const HttpRequest &Request) {
  return Request.method() == http::verb::get;
}

} // namespace

StorePath::StorePath(asio::io_context &Io, Address Store,
                     const std::string &LocalHost,
                     std::function<std::vector<Address>()> Peers)
    : Store(std::move(Store)), Peers(std::move(Peers)),
      StoreClient(Io, limitsFor(LocalHost)),
      PeerClient(Io, limitsFor(LocalHost)) {}

bool StorePath::directAllowed() const {
  return this->Works || BootClock::now() >= this->RetryAt;
}

void StorePath::noteDirect(bool Serves, const std::string &Why) {
  if (!Serves) {
    this->RetryAt = BootClock::now() + DirectRetry;
  }
  if (Serves != this->Works) {
    this->Works = Serves;
    LogLine(Serves ? LogLevel::Info : LogLevel::Warning, "store",
            Serves ? "store_regained" : "store_lost")
        .with("reason", Why);
    this->abandonCalls();
  }
}

void StorePath::abandonCalls() {
  // A wait for changes that was under way in an outage may hear of none until
  // its end; whoever made it asks again.
  std::set<CallerWatch *> Abandoned;
  Abandoned.swap(this->Reading);
  for (CallerWatch *Watch : Abandoned) {
    if (Watch->OnCancel) {
      Watch->OnCancel();
    }
  }
}

ExchangeResult StorePath::direct(HttpRequest &Request, Duration Timeout,
                                 const asio::yield_context &Yield) {
  LogLine(LogLevel::Debug, "store", "call")
      .with("method", std::string(Request.method_string()))
      .with("target", std::string(Request.target()));

  CallerWatch Watch;
  if (changesNothing(Request)) {
    this->Reading.insert(&Watch);
  }
  ExchangeResult Result = this->StoreClient.exchange(
      this->Store, Request,
      {.Deadline = BootClock::now() + Timeout, .Watch = &Watch}, Yield);
  bool Abandoned = changesNothing(Request) && this->Reading.erase(&Watch) == 0;
  if (Abandoned && !isServed(Result)) {
    return Result;
  }

  bool Serves = isServed(Result);
  std::string Why = Result.Outcome == ExchangeOutcome::Answered
                        ? absl::StrCat("status ", Result.Response.result_int())
                        : Result.Error;
  this->noteDirect(Serves, Why);
  return Result;
}

ExchangeResult StorePath::exchange(HttpRequest &Request, Duration Timeout,
                                   const asio::yield_context &Yield) {
  if (!this->directAllowed()) {
    return this->throughPeers(Request, Timeout, Yield);
  }

  // While in doubt, one call at a time asks the store.
  if (!this->Works) {
    this->RetryAt = BootClock::now() + DirectRetry;
  }
  ExchangeResult Result = this->direct(Request, Timeout, Yield);

  // What may have been done is not sent a second time.
  bool Doubtful =
      Result.Outcome == ExchangeOutcome::Ambiguous && !changesNothing(Request);
  if (isServed(Result) || Doubtful) {
    return Result;
  }
  return this->throughPeers(Request, Timeout, Yield);
}

ExchangeResult StorePath::throughPeers(HttpRequest &Request, Duration Timeout,
                                       const asio::yield_context &Yield) {
  ExchangeResult Last;
  Last.Error = "the store does not answer and there is no other instance";

  std::vector<Address> Known = this->Peers();
  std::size_t Count = std::min(Known.size(), MostPeers);
  for (std::size_t Try = 0; Try < Count; ++Try) {
    const Address &Peer = Known[this->NextPeer % Known.size()];
    HttpRequest Call = Request;
    Call.set(relay::Call, std::to_string(toMilliseconds(Timeout)));

    TimePoint Deadline = BootClock::now() + Timeout + RelaySlack;
    ExchangeResult Result =
        this->PeerClient.exchange(Peer, Call, {.Deadline = Deadline}, Yield);
    std::string How = headerValue(Result.Response, relay::Result);
    bool Relayed = Result.Outcome == ExchangeOutcome::Answered &&
                   How == nameOf(ExchangeOutcome::Answered);
    if (Relayed && isServed(Result)) {
      return Result;
    }

    ++this->NextPeer;
    bool MayHaveRun = Result.Outcome == ExchangeOutcome::Ambiguous ||
                      How == nameOf(ExchangeOutcome::Ambiguous);
    if (MayHaveRun && !changesNothing(Request)) {
      Result.Outcome = ExchangeOutcome::Ambiguous;
      Result.Error = "the call was passed on and not answered";
      return Result;
    }
    Last.Error = "the instances asked do not reach the store either";
  }
  return Last;
}

bool StorePath::isRelayCall(const HttpRequest &Request) {
  return Request.find(relay::Call) != Request.end();
}

HttpResponse StorePath::relay(HttpRequest &Request,
                              const asio::yield_context &Yield) {
  auto Allowed = numericHeaderValue(Request, relay::Call);
  Request.erase(relay::Call);

  ExchangeResult Result;
  if (this->Works && Allowed) {
    Result = this->direct(Request, std::chrono::milliseconds(*Allowed), Yield);
  }

  HttpResponse Response = Result.Outcome == ExchangeOutcome::Answered
                              ? std::move(Result.Response)
                              : HttpResponse(http::status::bad_gateway, 11);
  Response.set(relay::Result, nameOf(Result.Outcome));
  return Response;
}

} // namespace hemlockspar
