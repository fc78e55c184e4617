#include "daemon/OwnerPath.h"

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

/// Dispatch stops this long before the lease ends, for the way to the backend
/// server.
constexpr auto DispatchMargin = std::chrono::milliseconds(20);

/// A new connection costs the backend server about 1 ms; these are kept open
/// for the next requests.
constexpr std::size_t WarmConnections = 4;

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

/// A request that waits for its turn.
struct OwnerPath::Waiter {
  explicit Waiter(asio::io_context &Io) : Decided(Io) {}

  void decide(AdmissionVerdict Chosen) {
    this->Verdict = Chosen;
    this->Decided.set();
  }

  Event Decided;
  AdmissionVerdict Verdict = AdmissionVerdict::Shed;
};

OwnerPath::OwnerPath(asio::io_context &Io, Metrics &Counters,
                     std::function<void()> OnBackendLost)
    : Io(Io), Counters(Counters), OnBackendLost(std::move(OnBackendLost)),
      Client(Io, {}), Ledger({}) {
  this->setQueueOrder(QueueOrder::Fifo);
}

void OwnerPath::setQueueOrder(QueueOrder Order) {
  this->WantedOrder = Order;

  bool Current = this->Queue && this->ActiveOrder == Order;
  bool InUse = this->Queue && this->Queue->waiting() + this->Queue->running();

  // A queue in use is replaced once it is empty.
  if (!Current && !InUse) {
    this->ActiveOrder = Order;
    AdmissionLimits Limits;
    Limits.Capacity = std::max<std::uint32_t>(this->Backend.Capacity, 1);
    this->Queue = std::make_unique<AdmissionQueue>(
        Limits, this->Learned, makeDiscipline(Order, this->Learned));
  }
}

void OwnerPath::setBackend(const BackendChanged &State) {
  this->Backend = State;
  this->Queue->setCapacity(std::max<std::uint32_t>(State.Capacity, 1));

  if (!State.Lost) {
    return;
  }

  this->Client.forget(State.Server);
  std::set<CallerWatch *> Abandoned;
  Abandoned.swap(this->Dispatched);
  for (CallerWatch *Watch : Abandoned) {
    if (Watch->OnGone) {
      Watch->OnGone();
    }
  }
}

void OwnerPath::setOwned(const RoutingTable &Table, const InstanceId &Self,
                         TimePoint Now) {
  std::map<std::pair<std::string, SlotIndex>, OwnedSlot> Fresh;
  std::uint16_t SelfIndex = Table.indexOf(Self);

  for (const auto &[Name, Route] : Table.keyspaces()) {
    for (SlotIndex Slot = 0; Slot < Route.Owners.size(); ++Slot) {
      bool Mine = SelfIndex != KeyspaceRoute::NoOwner &&
                  Route.Owners[Slot] == SelfIndex;
      if (!Mine) {
        continue;
      }

      auto Known = this->Owned.find({Name, Slot});
      bool Kept = Known != this->Owned.end() &&
                  Known->second.Token == Route.Tokens[Slot];
      TimePoint Since = Kept ? Known->second.Since : Now;
      Fresh[{Name, Slot}] = {Route.Tokens[Slot], Since};
    }
  }

  this->Owned = std::move(Fresh);
}

bool OwnerPath::mayDispatch(TimePoint Now) const {
  return Now + DispatchMargin < this->LeaseUntil;
}

std::optional<Answer> OwnerPath::checkOwnership(const RoutedRequest &Routed,
                                                const KeyOwner &Owner) const {
  auto Known = this->Owned.find({Routed.Keyspace, Owner.Slot});
  bool Current =
      Known != this->Owned.end() && Known->second.Token == Owner.Token;
  if (!Current) {
    return notRun(AnswerReason::NotOwner, "the slot has another owner");
  }
  if (!this->mayDispatch(BootClock::now())) {
    return notRun(AnswerReason::LeaseExpired, "the owner's lease has expired");
  }
  if (!this->Backend.Serving) {
    return notRun(AnswerReason::BackendUnavailable,
                  "the owner's backend server does not serve");
  }
  return std::nullopt;
}

Answer OwnerPath::serve(HttpRequest &Request, const RoutedRequest &Routed,
                        const KeyOwner &Owner, CallerWatch &Watch,
                        const asio::yield_context &Yield) {
  if (auto Refusal = this->checkOwnership(Routed, Owner)) {
    return std::move(*Refusal);
  }
  if (!this->Gate.tryEnter(Routed.Keyspace, Owner.Slot)) {
    return notRun(AnswerReason::SlotMoving, "the slot is being handed over");
  }

  TimePoint BusyUntil;
  LedgerEntry Entry;
  Answer Result;

  if (auto Settled = this->consultLedger(Request, Routed, Owner, Entry)) {
    Result = std::move(*Settled);
  } else {
    RequestNumber Number = ++this->LastNumber;

    if (this->admit(Number, Routed, Watch, Yield)) {
      TimePoint DispatchedAt = BootClock::now();
      Result = this->dispatch(Request, Routed, Owner, Watch, BusyUntil, Yield);

      Duration Busy = BootClock::now() - DispatchedAt;
      bool Overloaded = Result.Reason == AnswerReason::BackendRefused;
      this->Queue->onFinished(Number, Busy, Overloaded, BootClock::now());
      this->Meter.record(Routed.Keyspace, Owner.Slot, Busy);
      this->applyVerdicts();
    } else {
      Result = notRun(AnswerReason::Overloaded,
                      "the deadline cannot be met at the present load",
                      toRetryAfter(this->Queue->expectedWait()));
    }

    this->settle(Entry, Result);
  }

  this->leaveGate(Routed, Owner.Slot, BusyUntil);
  return Result;
}

std::optional<Answer> OwnerPath::consultLedger(const HttpRequest &Request,
                                               const RoutedRequest &Routed,
                                               const KeyOwner &Owner,
                                               LedgerEntry &Entry) {
  if (Routed.Idempotent) {
    return std::nullopt;
  }

  TimePoint Since = this->Owned[{Routed.Keyspace, Owner.Slot}].Since;

  if (Routed.IdempotencyKey.empty()) {
    bool EarlierOwner = Routed.FirstSentAt && *Routed.FirstSentAt <= Since;
    if (EarlierOwner) {
      return unknown(AnswerReason::EarlierAttempt,
                     "the first attempt was before this owner's time");
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
    return unknown(AnswerReason::InProgress,
                   "an earlier attempt is still running");
  case IdempotencyVerdict::Unknown:
    return unknown(AnswerReason::EarlierAttempt,
                   "whether an earlier attempt ran is not known");
  case IdempotencyVerdict::Mismatch:
    return notRun(AnswerReason::KeyReused,
                  "the idempotency key was used for another request");
  case IdempotencyVerdict::Replay:
    break;
  }

  const StoredAnswer *Stored = this->Ledger.findAnswer(Attempt.Key);
  HttpResponse Response(static_cast<http::status>(Stored->Status), 11);
  Response.set(http::field::content_type, Stored->ContentType);
  Response.body() = Stored->Body;
  return answered(std::move(Response));
}

bool OwnerPath::admit(RequestNumber Number, const RoutedRequest &Routed,
                      CallerWatch &Watch, const asio::yield_context &Yield) {
  Waiter Turn(this->Io);
  this->Waiters[Number] = &Turn;

  QueuedRequest Queued;
  Queued.Number = Number;
  Queued.Class = Routed.Class;
  Queued.Caller = Routed.Caller;
  Queued.ArrivedAt = Routed.ArrivedAt;
  Queued.Deadline = Routed.Deadline;
  this->Queue->offer(Queued, BootClock::now());
  this->applyVerdicts();

  Watch.OnGone = [this, Number, &Turn] {
    if (this->Queue->cancel(Number)) {
      Turn.decide(AdmissionVerdict::Shed);
    }
  };

  Turn.Decided.wait(Yield);
  Watch.OnGone = nullptr;
  this->Waiters.erase(Number);
  return Turn.Verdict == AdmissionVerdict::Dispatch;
}

void OwnerPath::applyVerdicts() {
  for (const AdmissionDecision &Decision :
       this->Queue->poll(BootClock::now())) {
    auto Place = this->Waiters.find(Decision.Request);
    HS_FAIL_COND(Place == this->Waiters.end());

    Place->second->decide(Decision.Verdict);
  }
}

void OwnerPath::expireWaiting() { this->applyVerdicts(); }

Answer OwnerPath::dispatch(HttpRequest &Request, const RoutedRequest &Routed,
                           const KeyOwner &Owner, CallerWatch &Watch,
                           TimePoint &BusyUntil,
                           const asio::yield_context &Yield) {
  // Ownership may have ended while the request waited.
  if (auto Refusal = this->checkOwnership(Routed, Owner)) {
    return std::move(*Refusal);
  }

  TimePoint Now = BootClock::now();
  if (Watch.Gone) {
    return notRun(AnswerReason::CallerGone, "the caller has gone");
  }
  if (Now >= Routed.Deadline) {
    return notRun(AnswerReason::DeadlinePassed, "the deadline has passed");
  }

  auto Until = this->LeaseUntil.time_since_epoch().count();
  Request.set(headers::Keyspace, Routed.Keyspace);
  Request.set(headers::Slot, std::to_string(Owner.Slot));
  Request.set(headers::Token, std::to_string(Owner.Token));
  Request.set(headers::LeaseUntil, std::to_string(Until));
  Request.set(headers::TimeoutMs,
              std::to_string(toMilliseconds(Routed.Deadline - Now)));

  TimePoint CannotStartAfter = this->LeaseUntil;
  if (!this->Backend.ChecksGrants) {
    CannotStartAfter = std::max(CannotStartAfter, Now + this->Backend.MaxRun);
  }

  // Losing the backend server and losing the caller both end the exchange.
  this->Dispatched.insert(&Watch);
  ExchangeResult Exchange =
      this->Client.exchange(this->Backend.Server, Request,
                            {.Deadline = Routed.Deadline,
                             .SendBefore = this->LeaseUntil - DispatchMargin,
                             .Watch = &Watch},
                            Yield);
  this->Dispatched.erase(&Watch);

  if (Exchange.Outcome == ExchangeOutcome::Ambiguous) {
    BusyUntil = CannotStartAfter;
  }

  this->Counters.BackendSeconds.Observe(
      std::chrono::duration<double>(BootClock::now() - Now).count());
  return this->judge(Exchange);
}

Answer OwnerPath::judge(ExchangeResult &Exchange) {
  switch (Exchange.Outcome) {
  case ExchangeOutcome::NotSent:
    this->OnBackendLost();
    return notRun(AnswerReason::BackendUnavailable, Exchange.Error);
  case ExchangeOutcome::TooLate:
    return notRun(AnswerReason::LeaseExpired, "the owner's lease has expired");
  case ExchangeOutcome::Ambiguous:
    return unknown(AnswerReason::ConnectionBroken, Exchange.Error);
  case ExchangeOutcome::Answered:
    break;
  }

  eraseHopHeaders(Exchange.Response);
  bool Refused = headerOf(Exchange.Response, headers::Outcome) ==
                 nameOf(RequestOutcome::NotRun);
  if (Refused) {
    return notRun(AnswerReason::BackendRefused,
                  "the backend server did not run it");
  }

  return answered(std::move(Exchange.Response));
}

void OwnerPath::settle(const LedgerEntry &Entry, const Answer &Result) {
  if (!Entry.Used) {
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

void OwnerPath::leaveGate(const RoutedRequest &Routed, SlotIndex Slot,
                          TimePoint BusyUntil) {
  Duration Wait = BusyUntil - BootClock::now();
  if (Wait <= Duration::zero()) {
    this->Gate.leave(Routed.Keyspace, Slot);
    return;
  }

  // The backend server may yet start the request; the slot stays busy until
  // it can no longer.
  auto Timer = std::make_shared<asio::steady_timer>(this->Io, Wait);
  Timer->async_wait([this, Timer, Keyspace = Routed.Keyspace,
                     Slot](const boost::system::error_code &Error) {
    if (!Error) {
      this->Gate.leave(Keyspace, Slot);
    }
  });
}

void OwnerPath::sendGrants(const asio::yield_context &Yield) {
  if (!this->Backend.Serving) {
    return;
  }

  this->Client.warm(this->Backend.Server, WarmConnections, Yield);

  SlotsByKeyspace Slots;
  for (const auto &[Slot, Grant] : this->Owned) {
    Slots[Slot.first].add({Slot.second, Grant.Token});
  }

  Json::Value Body;
  Body["lease_until"] =
      Json::Int64(this->LeaseUntil.time_since_epoch().count());
  Body["slots"] = slotsToJson(Slots);

  HttpRequest Request(http::verb::put, "/hemlockspar/grants", 11);
  Request.set(http::field::host, this->Backend.Server.toText());
  Request.set(http::field::content_type, "application/json");
  Request.body() = writeJson(Body);

  ExchangeResult Exchange = this->Client.exchange(
      this->Backend.Server, Request,
      {.Deadline = BootClock::now() + GrantTimeout}, Yield);
  if (Exchange.Outcome == ExchangeOutcome::NotSent && this->Backend.Serving) {
    this->OnBackendLost();
  }
}

OwnLoad OwnerPath::measureLoad() {
  std::uint32_t Capacity = std::max<std::uint32_t>(this->Backend.Capacity, 1);
  this->setQueueOrder(this->WantedOrder);
  this->Counters.QueueWaiting.Set(double(this->Queue->waiting()));
  this->Counters.InFlight.Set(double(this->Queue->running()));
  return this->Meter.report(Capacity, this->Queue->waiting(), BootClock::now());
}

} // namespace hemlockspar
