#include "daemon/RequestForwarder.h"

#include <algorithm>

namespace hemlockspar {

namespace {

HttpClient::Limits limitsFor(const Settings &Config) {
  HttpClient::Limits Bounds;
  Bounds.LocalHost = Config.Listen.Host;
  return Bounds;
}

} // namespace

RequestForwarder::RequestForwarder(boost::asio::io_context &Io,
                                   Metrics &Counters, const Settings &Config)
    : Client(Io, limitsFor(Config)), Counters(Counters), Region(Config.Region) {
}

RequestResult
RequestForwarder::forward(HttpRequest &Request, const RoutedRequest &Routed,
                          const KeyOwner &Owner, CallerWatch &Watch,
                          const boost::asio::yield_context &Yield) {
  TimePoint Now = BootClock::now();
  const Endpoints &Peer = Owner.Owner->Addresses;
  bool OtherRegion = Owner.Owner->Region != this->Region;

  Request.set(headers::RequestId, Routed.RequestId);
  Request.set(headers::Caller, Routed.Caller);
  Request.set(headers::TimeoutMs,
              std::to_string(std::max<long long>(
                  toMilliseconds(Routed.Deadline - Now), 1)));
  if (Routed.FirstSentAt) {
    Request.set(headers::AttemptAgeMs,
                std::to_string(toMilliseconds(Now - *Routed.FirstSentAt)));
  }

  auto Entry = this->OutstandingExchanges.insert(
      this->OutstandingExchanges.end(),
      {Owner.Owner->Id, Owner.Owner->Epoch, &Watch});
  ExchangeResult Exchange = this->Client.exchange(
      {Peer.Host, Peer.ForwardPort}, Request,
      {.Deadline = Routed.Deadline, .Watch = &Watch}, Yield);
  this->OutstandingExchanges.erase(Entry);

  if (OtherRegion) {
    this->Counters.CrossRegionBytes.Increment(
        double(Request.body().size() + Exchange.Response.body().size()));
  }
  return this->interpretExchange(Exchange);
}

RequestResult RequestForwarder::interpretExchange(ExchangeResult &Exchange) {
  switch (Exchange.Outcome) {
  case ExchangeOutcome::NotSent:
  case ExchangeOutcome::TooLate:
    return notRunResult(OutcomeReason::PeerUnreachable, Exchange.Error);
  case ExchangeOutcome::Ambiguous:
    return unknownResult(OutcomeReason::ConnectionBroken, Exchange.Error);
  case ExchangeOutcome::Answered:
    break;
  }

  RequestResult Result;
  eraseHopByHopHeaders(Exchange.Response);
  Result.Outcome =
      requestOutcomeOf(headerValue(Exchange.Response, headers::Outcome))
          .value_or(RequestOutcome::Unknown);
  Result.Reason =
      outcomeReasonOf(headerValue(Exchange.Response, headers::Reason))
          .value_or(OutcomeReason::None);
  Result.Response = std::move(Exchange.Response);
  return Result;
}

void RequestForwarder::onRoutingChanged(const RoutingTable &Table) {
  std::vector<CallerWatch *> Cancelled;

  for (const OutstandingExchange &Entry : this->OutstandingExchanges) {
    if (Table.wasTakenOver(Entry.Peer, Entry.Life)) {
      Cancelled.push_back(Entry.Watch);
    }
  }

  for (CallerWatch *Watch : Cancelled) {
    if (Watch->OnCancel) {
      Watch->OnCancel();
    }
  }

  std::set<Address> KnownPeers;
  for (const InstanceRoute &Peer : Table.instances()) {
    KnownPeers.insert({Peer.Addresses.Host, Peer.Addresses.ForwardPort});
  }
  this->Client.closeIdleExcept(KnownPeers);
}

} // namespace hemlockspar
