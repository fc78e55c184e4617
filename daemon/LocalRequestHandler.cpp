#include "daemon/LocalRequestHandler.h"

#include "core/ErrorMacros.h"
#include "core/Hash.h"
#include "core/Json.h"
#include "net/Event.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <boost/asio/steady_timer.hpp>

namespace hemlockspar {

namespace asio = boost::asio;

namespace {

/// Dispatch stops this long before the lease expires, to allow for the transit
/// time to the backend server.
constexpr auto DispatchMargin = std::chrono::milliseconds(20);

/// Idle connections kept open to the backend server, because each new one costs
/// the server about 1 ms.
constexpr std::size_t MinIdleConnections = 4;

constexpr auto GrantTimeout = std::chrono::milliseconds(300);

std::string ledgerKey(const RoutedRequest &Routed) {
  return absl::StrCat(Routed.Keyspace, "\n", Routed.Key, "\n",
                      Routed.IdempotencyKey);
}

std::uint64_t fingerprintOf(const HttpRequest &Request) {
  return stableHash(absl::StrCat(std::string(Request.method_string()), "\n",
                                 std::string(Request.target()), "\n",
                                 Request.body()));
}

std::chrono::seconds toRetryAfter(Duration Wait) {
  return std::max(std::chrono::ceil<std::chrono::seconds>(Wait),
                  std::chrono::seconds(1));
}

} // namespace

/// A queued request that waits for its admission decision.
struct LocalRequestHandler::Waiter {
  explicit Waiter(asio::io_context &Io) : Decided(Io) {}

  void decide(AdmissionVerdict NewVerdict) {
    this->Verdict = NewVerdict;
    this->Decided.set();
  }

  Event Decided;
  AdmissionVerdict Verdict = AdmissionVerdict::Shed;
};

LocalRequestHandler::LocalRequestHandler(
    asio::io_context &Io, Metrics &Counters,
    std::function<void()> OnBackendUnreachable)
    : Io(Io), Counters(Counters),
      OnBackendUnreachable(std::move(OnBackendUnreachable)),
      BackendClient(Io, {}), Ledger({}) {
  this->setQueueOrder(QueueOrder::Fifo);
}

void LocalRequestHandler::setQueueOrder(QueueOrder Order) {
  this->RequestedOrder = Order;

  bool Current = this->Queue && this->ActiveOrder == Order;
  bool InUse = this->Queue && this->Queue->waiting() + this->Queue->running();

  // A queue in use is replaced once it is empty.
  if (!Current && !InUse) {
    this->ActiveOrder = Order;
    AdmissionLimits Limits;
    Limits.Capacity = std::max<std::uint32_t>(this->Backend.Capacity, 1);
    this->Queue = std::make_unique<AdmissionQueue>(
        Limits, this->LearnedTimes, makeDiscipline(Order, this->LearnedTimes));
  }
}

void LocalRequestHandler::setBackend(const BackendStatus &State) {
  this->Backend = State;
  this->Queue->setCapacity(std::max<std::uint32_t>(State.Capacity, 1));

  if (!State.Lost) {
    return;
  }

  this->BackendClient.closeIdle(State.Server);
  std::set<CallerWatch *> Cancelled;
  Cancelled.swap(this->DispatchedWatches);
  for (CallerWatch *Watch : Cancelled) {
    if (Watch->OnCancel) {
      Watch->OnCancel();
    }
  }
}

void LocalRequestHandler::updateOwnedSlots(const RoutingTable &Table,
                                           const InstanceId &Self,
                                           TimePoint Now) {
  std::map<std::pair<std::string, SlotIndex>, OwnedSlot> Updated;
  std::uint16_t SelfIndex = Table.indexOf(Self);

  for (const auto &[Name, Route] : Table.keyspaces()) {
    for (SlotIndex Slot = 0; Slot < Route.Owners.size(); ++Slot) {
      bool OwnedHere = SelfIndex != KeyspaceRoute::NoOwner &&
                       Route.Owners[Slot] == SelfIndex;
      if (!OwnedHere) {
        continue;
      }

      auto Known = this->OwnedSlots.find({Name, Slot});
      bool Kept = Known != this->OwnedSlots.end() &&
                  Known->second.Token == Route.Tokens[Slot];
      TimePoint Since = Kept ? Known->second.OwnedSince : Now;
      Updated[{Name, Slot}] = {Route.Tokens[Slot], Since};
    }
  }

  this->OwnedSlots = std::move(Updated);
}

bool LocalRequestHandler::leaseAllowsDispatch(TimePoint Now) const {
  return Now + DispatchMargin < this->LeaseExpiresAt;
}

std::optional<RequestResult>
LocalRequestHandler::checkOwnership(const RoutedRequest &Routed,
                                    const KeyOwner &Owner) const {
  auto Known = this->OwnedSlots.find({Routed.Keyspace, Owner.Slot});
  bool Current =
      Known != this->OwnedSlots.end() && Known->second.Token == Owner.Token;
  if (!Current) {
    return notRunResult(OutcomeReason::NotOwner,
                        "this instance does not own the slot");
  }
  if (!this->leaseAllowsDispatch(BootClock::now())) {
    return notRunResult(OutcomeReason::LeaseExpired,
                        "the owner's lease has expired");
  }
  if (!this->Backend.Serving) {
    return notRunResult(OutcomeReason::BackendUnavailable,
                        "the owner's backend server is not serving");
  }
  return std::nullopt;
}

RequestResult LocalRequestHandler::handle(HttpRequest &Request,
                                          const RoutedRequest &Routed,
                                          const KeyOwner &Owner,
                                          CallerWatch &Watch,
                                          const asio::yield_context &Yield) {
  if (auto Refusal = this->checkOwnership(Routed, Owner)) {
    return std::move(*Refusal);
  }
  if (!this->Gate.tryEnter(Routed.Keyspace, Owner.Slot)) {
    return notRunResult(OutcomeReason::SlotMoving,
                        "the slot is being handed over");
  }

  TimePoint SlotBusyUntil;
  LedgerEntry Entry;
  RequestResult Result;

  if (auto LedgerResult = this->checkLedger(Request, Routed, Owner, Entry)) {
    Result = std::move(*LedgerResult);
  } else {
    RequestNumber Number = ++this->LastRequestNumber;

    if (this->admit(Number, Routed, Watch, Yield)) {
      TimePoint DispatchedAt = BootClock::now();
      Result =
          this->dispatch(Request, Routed, Owner, Watch, SlotBusyUntil, Yield);

      Duration ElapsedTime = BootClock::now() - DispatchedAt;
      bool Overloaded = Result.Reason == OutcomeReason::BackendRefused;
      this->Queue->onFinished(Number, ElapsedTime, Overloaded,
                              BootClock::now());
      this->Meter.record(Routed.Keyspace, Owner.Slot, ElapsedTime);
      this->applyAdmissionDecisions();
    } else {
      Result = notRunResult(OutcomeReason::Overloaded,
                            "the deadline cannot be met at the current load",
                            toRetryAfter(this->Queue->expectedWait()));
    }

    this->completeLedgerEntry(Entry, Result);
  }

  this->leaveGate(Routed, Owner.Slot, SlotBusyUntil);
  return Result;
}

std::optional<RequestResult>
LocalRequestHandler::checkLedger(const HttpRequest &Request,
                                 const RoutedRequest &Routed,
                                 const KeyOwner &Owner, LedgerEntry &Entry) {
  if (Routed.Idempotent) {
    return std::nullopt;
  }

  TimePoint Since = this->OwnedSlots[{Routed.Keyspace, Owner.Slot}].OwnedSince;

  if (Routed.IdempotencyKey.empty()) {
    bool PrecedesOwnership = Routed.FirstSentAt && *Routed.FirstSentAt <= Since;
    if (PrecedesOwnership) {
      return unknownResult(
          OutcomeReason::EarlierAttempt,
          "the first attempt was sent before this instance owned "
          "the slot");
    }
    return std::nullopt;
  }

  IdempotencyCache::Attempt Attempt;
  Attempt.Key = ledgerKey(Routed);
  Attempt.Fingerprint = fingerprintOf(Request);
  Attempt.FirstSentAt = Routed.FirstSentAt;
  Attempt.OwnedSince = Since;

  switch (this->Ledger.begin(Attempt, BootClock::now())) {
  case IdempotencyVerdict::Run:
    Entry = {Attempt.Key, true};
    return std::nullopt;
  case IdempotencyVerdict::InProgress:
    return unknownResult(OutcomeReason::InProgress,
                         "an earlier attempt is still running");
  case IdempotencyVerdict::Unknown:
    return unknownResult(OutcomeReason::EarlierAttempt,
                         "it is unknown whether an earlier attempt ran");
  case IdempotencyVerdict::Mismatch:
    return notRunResult(
        OutcomeReason::KeyReused,
        "the idempotency key was already used for another request");
  case IdempotencyVerdict::Replay:
    break;
  }

  const StoredAnswer *Stored = this->Ledger.findAnswer(Attempt.Key);
  HttpResponse Response(static_cast<http::status>(Stored->Status), 11);
  Response.set(http::field::content_type, Stored->ContentType);
  Response.body() = Stored->Body;
  return answeredResult(std::move(Response));
}

bool LocalRequestHandler::admit(RequestNumber Number,
                                const RoutedRequest &Routed, CallerWatch &Watch,
                                const asio::yield_context &Yield) {
  Waiter Admission(this->Io);
  this->Waiters[Number] = &Admission;

  QueuedRequest Queued;
  Queued.Number = Number;
  Queued.Class = Routed.Class;
  Queued.Caller = Routed.Caller;
  Queued.ArrivedAt = Routed.ArrivedAt;
  Queued.Deadline = Routed.Deadline;
  this->Queue->offer(Queued, BootClock::now());
  this->applyAdmissionDecisions();

  Watch.OnCancel = [this, Number, &Admission] {
    if (this->Queue->cancel(Number)) {
      Admission.decide(AdmissionVerdict::Shed);
    }
  };

  Admission.Decided.wait(Yield);
  Watch.OnCancel = nullptr;
  this->Waiters.erase(Number);
  return Admission.Verdict == AdmissionVerdict::Dispatch;
}

void LocalRequestHandler::applyAdmissionDecisions() {
  for (const AdmissionDecision &Decision :
       this->Queue->poll(BootClock::now())) {
    auto Found = this->Waiters.find(Decision.Request);
    HS_FAIL_COND(Found == this->Waiters.end());

    Found->second->decide(Decision.Verdict);
  }
}

void LocalRequestHandler::shedExpired() { this->applyAdmissionDecisions(); }

RequestResult LocalRequestHandler::dispatch(HttpRequest &Request,
                                            const RoutedRequest &Routed,
                                            const KeyOwner &Owner,
                                            CallerWatch &Watch,
                                            TimePoint &SlotBusyUntil,
                                            const asio::yield_context &Yield) {
  // Ownership may have been lost while the request was queued.
  if (auto Refusal = this->checkOwnership(Routed, Owner)) {
    return std::move(*Refusal);
  }

  TimePoint Now = BootClock::now();
  if (Watch.Disconnected) {
    return notRunResult(OutcomeReason::CallerGone,
                        "the caller has disconnected");
  }
  if (Now >= Routed.Deadline) {
    return notRunResult(OutcomeReason::DeadlinePassed,
                        "the deadline has passed");
  }

  auto Until = this->LeaseExpiresAt.time_since_epoch().count();
  Request.set(headers::Keyspace, Routed.Keyspace);
  Request.set(headers::Slot, std::to_string(Owner.Slot));
  Request.set(headers::Token, std::to_string(Owner.Token));
  Request.set(headers::LeaseUntil, std::to_string(Until));
  Request.set(headers::TimeoutMs,
              std::to_string(toMilliseconds(Routed.Deadline - Now)));

  TimePoint CannotStartAfter = this->LeaseExpiresAt;
  if (!this->Backend.ChecksGrants) {
    CannotStartAfter =
        std::max(CannotStartAfter, Now + this->Backend.MaxRunTime);
  }

  // The exchange is cancelled when the backend server is lost (see setBackend)
  // and when the caller disconnects.
  this->DispatchedWatches.insert(&Watch);
  ExchangeResult Exchange = this->BackendClient.exchange(
      this->Backend.Server, Request,
      {.Deadline = Routed.Deadline,
       .SendBefore = this->LeaseExpiresAt - DispatchMargin,
       .Watch = &Watch},
      Yield);
  this->DispatchedWatches.erase(&Watch);

  if (Exchange.Outcome == ExchangeOutcome::Ambiguous) {
    SlotBusyUntil = CannotStartAfter;
  }

  this->Counters.BackendSeconds.Observe(
      std::chrono::duration<double>(BootClock::now() - Now).count());
  return this->interpretExchange(Exchange);
}

RequestResult LocalRequestHandler::interpretExchange(ExchangeResult &Exchange) {
  switch (Exchange.Outcome) {
  case ExchangeOutcome::NotSent:
    this->OnBackendUnreachable();
    return notRunResult(OutcomeReason::BackendUnavailable, Exchange.Error);
  case ExchangeOutcome::TooLate:
    return notRunResult(OutcomeReason::LeaseExpired,
                        "the owner's lease has expired");
  case ExchangeOutcome::Ambiguous:
    return unknownResult(OutcomeReason::ConnectionBroken, Exchange.Error);
  case ExchangeOutcome::Answered:
    break;
  }

  eraseHopByHopHeaders(Exchange.Response);
  bool Refused = headerValue(Exchange.Response, headers::Outcome) ==
                 nameOf(RequestOutcome::NotRun);
  if (Refused) {
    return notRunResult(OutcomeReason::BackendRefused,
                        "the backend server refused to run the request");
  }

  return answeredResult(std::move(Exchange.Response));
}

void LocalRequestHandler::completeLedgerEntry(const LedgerEntry &Entry,
                                              const RequestResult &Result) {
  if (!Entry.Recorded) {
    return;
  }

  switch (Result.Outcome) {
  case RequestOutcome::NotRun:
    this->Ledger.onNotRun(Entry.Key);
    return;
  case RequestOutcome::Unknown:
    this->Ledger.onUnknown(Entry.Key);
    return;
  case RequestOutcome::Answered:
    this->Ledger.onAnswered(
        Entry.Key, {Result.Response.result_int(),
                    std::string(Result.Response[http::field::content_type]),
                    Result.Response.body()});
    return;
  }
}

void LocalRequestHandler::leaveGate(const RoutedRequest &Routed, SlotIndex Slot,
                                    TimePoint SlotBusyUntil) {
  Duration Wait = SlotBusyUntil - BootClock::now();
  if (Wait <= Duration::zero()) {
    this->Gate.leave(Routed.Keyspace, Slot);
    return;
  }

  // The backend server may still start the request; the slot stays busy until
  // that is no longer possible.
  auto Timer = std::make_shared<asio::steady_timer>(this->Io, Wait);
  Timer->async_wait([this, Timer, Keyspace = Routed.Keyspace,
                     Slot](const boost::system::error_code &Error) {
    if (!Error) {
      this->Gate.leave(Keyspace, Slot);
    }
  });
}

void LocalRequestHandler::sendGrants(const asio::yield_context &Yield) {
  if (!this->Backend.Serving) {
    return;
  }

  this->BackendClient.preconnect(this->Backend.Server, MinIdleConnections,
                                 Yield);

  SlotsByKeyspace Slots;
  for (const auto &[Slot, Grant] : this->OwnedSlots) {
    Slots[Slot.first].add({Slot.second, Grant.Token});
  }

  Json::Value Body;
  Body["lease_until"] =
      Json::Int64(this->LeaseExpiresAt.time_since_epoch().count());
  Body["slots"] = slotsToJson(Slots);

  HttpRequest Request(http::verb::put, "/hemlockspar/grants", 11);
  Request.set(http::field::host, this->Backend.Server.toText());
  Request.set(http::field::content_type, "application/json");
  Request.body() = writeJson(Body);

  ExchangeResult Exchange = this->BackendClient.exchange(
      this->Backend.Server, Request,
      {.Deadline = BootClock::now() + GrantTimeout}, Yield);
  if (Exchange.Outcome == ExchangeOutcome::NotSent && this->Backend.Serving) {
    this->OnBackendUnreachable();
  }
}

OwnLoad LocalRequestHandler::measureLoad() {
  std::uint32_t Capacity = std::max<std::uint32_t>(this->Backend.Capacity, 1);
  this->setQueueOrder(this->RequestedOrder);
  this->Counters.QueueWaiting.Set(double(this->Queue->waiting()));
  this->Counters.InFlight.Set(double(this->Queue->running()));
  return this->Meter.report(Capacity, this->Queue->waiting(), BootClock::now());
}

} // namespace hemlockspar
