#include "daemon/ForwardPath.h"

#include <algorithm>

namespace hemlockspar {

namespace {

HttpClient::Limits limitsFor(const Settings &Config) {
  HttpClient::Limits Bounds;
  Bounds.LocalHost = Config.Listen.Host;
  return Bounds;
}

} // namespace

ForwardPath::ForwardPath(boost::asio::io_context &Io, Metrics &Counters,
                         const Settings &Config)
    : Client(Io, limitsFor(Config)), Counters(Counters), Region(Config.Region) {
}

Answer ForwardPath::send(HttpRequest &Request, const RoutedRequest &Routed,
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

  auto Entry = this->Exchanges.insert(
      this->Exchanges.end(), {Owner.Owner->Id, Owner.Owner->Epoch, &Watch});
  ExchangeResult Exchange = this->Client.exchange(
      {Peer.Host, Peer.ForwardPort}, Request,
      {.Deadline = Routed.Deadline, .Watch = &Watch}, Yield);
  this->Exchanges.erase(Entry);

  if (OtherRegion) {
    this->Counters.CrossRegionBytes.Increment(
        double(Request.body().size() + Exchange.Response.body().size()));
  }
  return this->judge(Exchange);
}

Answer ForwardPath::judge(ExchangeResult &Exchange) {
  switch (Exchange.Outcome) {
  case ExchangeOutcome::NotSent:
  case ExchangeOutcome::TooLate:
    return notRun(AnswerReason::PeerUnreachable, Exchange.Error);
  case ExchangeOutcome::Ambiguous:
    return unknown(AnswerReason::ConnectionBroken, Exchange.Error);
  case ExchangeOutcome::Answered:
    break;
  }

  Answer Result;
  eraseHopHeaders(Exchange.Response);
  Result.Outcome =
      requestOutcomeOf(headerOf(Exchange.Response, headers::Outcome))
          .value_or(RequestOutcome::Unknown);
  Result.Reason = answerReasonOf(headerOf(Exchange.Response, headers::Reason))
                      .value_or(AnswerReason::None);
  Result.Response = std::move(Exchange.Response);
  return Result;
}

void ForwardPath::onRoutingChanged(const RoutingTable &Table) {
  std::vector<CallerWatch *> Abandoned;

  for (const Outstanding &Entry : this->Exchanges) {
    if (Table.wasTakenOver(Entry.Peer, Entry.Life)) {
      Abandoned.push_back(Entry.Watch);
    }
  }

  for (CallerWatch *Watch : Abandoned) {
    if (Watch->OnGone) {
      Watch->OnGone();
    }
  }

  std::set<Address> Present;
  for (const InstanceRoute &Peer : Table.instances()) {
    Present.insert({Peer.Addresses.Host, Peer.Addresses.ForwardPort});
  }
  this->Client.forgetOthers(Present);
}

} // namespace hemlockspar
