#include "mesh/FailoverStoreTransport.h"

#include "core/Log.h"

#include <absl/strings/str_cat.h>

namespace hemlockspar {

namespace asio = boost::asio;

namespace {

namespace relay {
/// Call marks a request that is to be relayed to the store; its value is the
/// timeout in milliseconds. Result in the response states how the call ended.
constexpr char Call[] = "Hemlockspar-Store-Call";
constexpr char Result[] = "Hemlockspar-Store-Result";
} // namespace relay

/// Interval of direct attempts while the store does not respond.
constexpr auto DirectRetryInterval = std::chrono::milliseconds(1000);

/// Maximum number of peers tried per call.
constexpr std::size_t MaxPeersPerCall = 2;

/// Added to the timeout of a relayed call for the round trip to the peer.
constexpr auto RelaySlack = std::chrono::milliseconds(300);

HttpClient::Limits limitsFor(const std::string &LocalHost,
                             const MemoryBudgetPtr &Memory) {
  HttpClient::Limits Bounds;
  Bounds.Memory = Memory;
  Bounds.LocalHost = LocalHost;
  Bounds.MaxIdleConnections = 4;
  Bounds.MaxIdleTime = std::chrono::seconds(30);

  // A dead connection that waits for changes must be detected within about 2 s:
  // configurations are due in less than 3 s.
  Bounds.DeadPeerDetection.UnacknowledgedTimeout =
      std::chrono::milliseconds(1000);
  Bounds.DeadPeerDetection.ProbeInterval = std::chrono::seconds(1);
  return Bounds;
}

/// Whether the store processed the call, whatever the result.
bool isServed(const ExchangeResult &Result) {
  bool Answered = Result.Outcome == ExchangeOutcome::Answered;
  return Answered &&
         Result.Response.result() != http::status::service_unavailable &&
         Result.Response.result() != http::status::too_many_requests;
}

bool isReadOnly(const HttpRequest &Request) {
  return Request.method() == http::verb::get;
}

} // namespace

FailoverStoreTransport::FailoverStoreTransport(
    asio::io_context &Io, Address Store, const std::string &LocalHost,
    std::function<std::vector<Address>()> Peers, const MemoryBudgetPtr &Memory)
    : StoreAddress(std::move(Store)), Peers(std::move(Peers)),
      StoreClient(Io, limitsFor(LocalHost, Memory)),
      PeerClient(Io, limitsFor(LocalHost, Memory)) {}

bool FailoverStoreTransport::mayCallDirectly() const {
  return this->StoreReachable || BootClock::now() >= this->DirectRetryAt;
}

void FailoverStoreTransport::recordDirectResult(bool Responds,
                                                const std::string &Reason) {
  if (!Responds) {
    this->DirectRetryAt = BootClock::now() + DirectRetryInterval;
  }
  if (Responds != this->StoreReachable) {
    this->StoreReachable = Responds;
    LogLine(Responds ? LogLevel::Info : LogLevel::Warning, "store",
            Responds ? "store_regained" : "store_lost")
        .with("reason", Reason);
    this->cancelPendingReads();
  }
}

void FailoverStoreTransport::cancelPendingReads() {
  // A wait for changes that was in progress during an outage may receive no
  // notifications until it ends. Cancel it; the caller issues a new one.
  std::set<CallerWatch *> Cancelled;
  Cancelled.swap(this->PendingReads);
  for (CallerWatch *Watch : Cancelled) {
    if (Watch->OnCancel) {
      Watch->OnCancel();
    }
  }
}

ExchangeResult
FailoverStoreTransport::exchangeDirectly(HttpRequest &Request, Duration Timeout,
                                         const asio::yield_context &Yield) {
  LogLine(LogLevel::Debug, "store", "call")
      .with("method", std::string(Request.method_string()))
      .with("target", std::string(Request.target()));

  CallerWatch Watch;
  if (isReadOnly(Request)) {
    this->PendingReads.insert(&Watch);
  }
  ExchangeResult Result = this->StoreClient.exchange(
      this->StoreAddress, Request,
      {.Deadline = BootClock::now() + Timeout, .Watch = &Watch}, Yield);
  bool Cancelled = isReadOnly(Request) && this->PendingReads.erase(&Watch) == 0;
  if (Cancelled && !isServed(Result)) {
    return Result;
  }

  bool Responds = isServed(Result);
  std::string Reason =
      Result.Outcome == ExchangeOutcome::Answered
          ? absl::StrCat("status ", Result.Response.result_int())
          : Result.Error;
  this->recordDirectResult(Responds, Reason);
  return Result;
}

ExchangeResult
FailoverStoreTransport::exchange(HttpRequest &Request, Duration Timeout,
                                 const asio::yield_context &Yield) {
  if (!this->mayCallDirectly()) {
    return this->exchangeThroughPeers(Request, Timeout, Yield);
  }

  // While the store is suspected to be down, only one call at a time probes it.
  if (!this->StoreReachable) {
    this->DirectRetryAt = BootClock::now() + DirectRetryInterval;
  }
  ExchangeResult Result = this->exchangeDirectly(Request, Timeout, Yield);

  // A write that may have been executed is not sent again.
  bool MayHaveRun =
      Result.Outcome == ExchangeOutcome::Ambiguous && !isReadOnly(Request);
  if (isServed(Result) || MayHaveRun) {
    return Result;
  }
  return this->exchangeThroughPeers(Request, Timeout, Yield);
}

ExchangeResult FailoverStoreTransport::exchangeThroughPeers(
    HttpRequest &Request, Duration Timeout, const asio::yield_context &Yield) {
  ExchangeResult Failure;
  Failure.Error = "the store does not respond and there is no other instance";

  std::vector<Address> PeerAddresses = this->Peers();
  std::size_t Count = std::min(PeerAddresses.size(), MaxPeersPerCall);
  for (std::size_t Attempt = 0; Attempt < Count; ++Attempt) {
    const Address &Peer = PeerAddresses[this->NextPeer % PeerAddresses.size()];
    HttpRequest Call = Request;
    Call.set(relay::Call, std::to_string(toMilliseconds(Timeout)));

    TimePoint SentAt = BootClock::now();
    TimePoint Deadline = SentAt + Timeout + RelaySlack;
    ExchangeResult Result =
        this->PeerClient.exchange(Peer, Call, {.Deadline = Deadline}, Yield);
    std::string RelayOutcome = headerValue(Result.Response, relay::Result);
    bool Relayed = Result.Outcome == ExchangeOutcome::Answered &&
                   RelayOutcome == nameOf(ExchangeOutcome::Answered);
    if (Relayed && isServed(Result)) {
      return Result;
    }

    LogLine(LogLevel::Info, "store", "relay_failed")
        .with("peer", Peer.toText())
        .with("target", std::string(Request.target()))
        .with("outcome", RelayOutcome.empty() ? nameOf(Result.Outcome)
                                              : RelayOutcome.c_str())
        .with("error", Result.Error)
        .with("ms", toMilliseconds(BootClock::now() - SentAt));
    ++this->NextPeer;
    bool MayHaveRun = Result.Outcome == ExchangeOutcome::Ambiguous ||
                      RelayOutcome == nameOf(ExchangeOutcome::Ambiguous);
    if (MayHaveRun && !isReadOnly(Request)) {
      Result.Outcome = ExchangeOutcome::Ambiguous;
      Result.Error = "the call was passed on and not answered";
      return Result;
    }
    Failure.Error = "the instances asked cannot reach the store either";
  }
  return Failure;
}

bool FailoverStoreTransport::isRelayCall(const HttpRequest &Request) {
  return Request.find(relay::Call) != Request.end();
}

HttpResponse FailoverStoreTransport::relay(HttpRequest &Request,
                                           const asio::yield_context &Yield) {
  auto Allowed = numericHeaderValue(Request, relay::Call);
  Request.erase(relay::Call);

  ExchangeResult Result;
  if (this->StoreReachable && Allowed) {
    Result = this->exchangeDirectly(Request,
                                    std::chrono::milliseconds(*Allowed), Yield);
  }

  HttpResponse Response = Result.Outcome == ExchangeOutcome::Answered
                              ? std::move(Result.Response)
                              : HttpResponse(http::status::bad_gateway, 11);
  Response.set(relay::Result, nameOf(Result.Outcome));
  return Response;
}

} // namespace hemlockspar
