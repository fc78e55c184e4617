#include "daemon/DataPlane.h"

#include "core/ErrorMacros.h"
#include "net/Event.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

namespace hemlockspar {

namespace asio = boost::asio;

namespace {

constexpr auto RetryDelay = std::chrono::milliseconds(10);
constexpr auto QueueExpiryInterval = std::chrono::milliseconds(10);
constexpr auto LoadReportInterval = std::chrono::milliseconds(500);
constexpr auto GrantInterval = std::chrono::milliseconds(400);

HttpLimits peerLimits(const HttpLimits &Callers) {
  HttpLimits Peers = Callers;
  Peers.MaxHeaderBytes += 4096;
  return Peers;
}

} // namespace

DataPlane::DataPlane(asio::io_context &Io, const Settings &Config,
                     Metrics &Counters,
                     BoundedRing<RequestThreadMessage> &FromControl,
                     BoundedRing<ControlThreadMessage> &ToControlThread)
    : Io(Io), Config(Config), Counters(Counters),
      ToControlThread(ToControlThread), Table(std::make_shared<RoutingTable>()),
      LocalHandler(
          Io, Counters,
          [this] { this->ToControlThread.push(BackendUnreachable()); }),
      Forwarder(Io, Counters, Config),
      CallerServer(Io, Config.CallerLimits,
                   [this](HttpRequest &Request, CallerWatch &Watch,
                          const asio::yield_context &Yield) {
                     return this->onRequest(Request, Watch, false, Yield);
                   }),
      PeerServer(Io, peerLimits(Config.CallerLimits),
                 [this](HttpRequest &Request, CallerWatch &Watch,
                        const asio::yield_context &Yield) {
                   return this->onRequest(Request, Watch, true, Yield);
                 }),
      ProcessStartNs(static_cast<std::uint64_t>(
          BootClock::now().time_since_epoch().count())) {
  FromControl.setHandler([this](RequestThreadMessage &&Message) {
    this->onControlMessage(std::move(Message));
  });
}

absl::Status DataPlane::start() {
  const Endpoints &Listen = this->Config.Listen;

  absl::Status Peers =
      this->PeerServer.listen({Listen.Host, Listen.ForwardPort});
  if (!Peers.ok()) {
    return Peers;
  }

  absl::Status Callers =
      this->CallerServer.listen({Listen.Host, Listen.CallerPort});
  if (!Callers.ok()) {
    return Callers;
  }

  this->startTimers();
  return absl::OkStatus();
}

void DataPlane::startTimers() {
  this->runPeriodically(QueueExpiryInterval,
                        [this](const asio::yield_context &) {
                          this->LocalHandler.shedExpired();
                          this->reportFrozenSlots();
                          this->reportConnectionsClosed();
                        });
  this->runPeriodically(LoadReportInterval,
                        [this](const asio::yield_context &) {
                          LoadMeasured Report;
                          Report.Load = this->LocalHandler.measureLoad();
                          Report.InFlight = this->LocalHandler.runningCount();
                          this->ToControlThread.push(std::move(Report));
                        });
  this->runPeriodically(GrantInterval,
                        [this](const asio::yield_context &Yield) {
                          this->LocalHandler.sendGrants(Yield);
                        });
}

void DataPlane::runPeriodically(
    std::chrono::milliseconds Interval,
    std::function<void(const asio::yield_context &)> Action) {
  asio::spawn(
      this->Io,
      [this, Interval,
       Action = std::move(Action)](const asio::yield_context &Yield) {
        asio::steady_timer Timer(this->Io);
        boost::system::error_code Error;

        while (!Error) {
          Action(Yield);
          Timer.expires_after(Interval);
          Timer.async_wait(Yield[Error]);
        }
      },
      asio::detached);
}

HttpResponse DataPlane::onRequest(HttpRequest &Request, CallerWatch &Watch,
                                  bool FromPeer,
                                  const asio::yield_context &Yield) {
  eraseHopByHopHeaders(Request);
  eraseInternalHeaders(Request);

  absl::StatusOr<RoutedRequest> Routed = parseRequest(
      Request, {this->Config.DefaultTimeout, this->Config.MaxTimeout},
      BootClock::now());

  if (!Routed.ok()) {
    RequestResult Refusal = notRunResult(
        OutcomeReason::BadRequest, std::string(Routed.status().message()));
    LogLine(LogLevel::Info, "route", "refused")
        .with("reason", std::string_view(Routed.status().message().data(),
                                         Routed.status().message().size()));
    this->countOutcome(Refusal);
    return std::move(Refusal.Response);
  }

  Routed->Forwarded = FromPeer;
  if (Routed->RequestId.empty()) {
    Routed->RequestId = this->nextRequestId();
  }

  RequestResult Result = this->route(Request, *Routed, Watch, Yield);

  KeyOwner Owner;
  if (const KeyspaceRoute *Keyspace =
          this->Table->findKeyspace(Routed->Keyspace)) {
    Owner = this->Table->findOwner(*Keyspace, Routed->Key);
  }
  if (Owner.Owner) {
    const Endpoints &OwnerAddresses = Owner.Owner->Addresses;
    Result.Response.set(
        headers::Owner,
        absl::StrCat(OwnerAddresses.Host, ":", OwnerAddresses.CallerPort));
  }

  Result.Response.set(headers::RequestId, Routed->RequestId);
  this->logResult(*Routed, Result, Owner);
  this->countOutcome(Result);
  return std::move(Result.Response);
}

RequestResult DataPlane::route(HttpRequest &Request,
                               const RoutedRequest &Routed, CallerWatch &Watch,
                               const asio::yield_context &Yield) {
  bool MayHaveRun = false;

  while (true) {
    RequestResult Result = this->attemptRequest(Request, Routed, Watch, Yield);
    MayHaveRun = MayHaveRun || Result.Outcome == RequestOutcome::Unknown;

    if (this->shouldRetry(Result, Routed, Watch)) {
      this->waitBeforeRetry(Routed.Deadline, Yield);
      continue;
    }

    // An earlier attempt may have run even though the last one did not.
    if (MayHaveRun && Result.Outcome == RequestOutcome::NotRun) {
      return unknownResult(OutcomeReason::ConnectionBroken,
                           "an earlier attempt may have run");
    }
    return Result;
  }
}

RequestResult DataPlane::attemptRequest(HttpRequest &Request,
                                        const RoutedRequest &Routed,
                                        CallerWatch &Watch,
                                        const asio::yield_context &Yield) {
  std::shared_ptr<const RoutingTable> Current = this->Table;
  const KeyspaceRoute *Keyspace = Current->findKeyspace(Routed.Keyspace);

  if (!Keyspace) {
    bool NoTableYet = Current->version() == 0;
    return NoTableYet ? notRunResult(OutcomeReason::NoOwner,
                                     "no routing table received yet")
                      : notRunResult(OutcomeReason::UnknownKeyspace,
                                     "no key space '" + Routed.Keyspace +
                                         "' is declared");
  }

  KeyOwner Owner = Current->findOwner(*Keyspace, Routed.Key);
  if (!Owner.Owner) {
    return notRunResult(OutcomeReason::NoOwner,
                        "the key currently has no owner");
  }

  if (Owner.Owner->Id == this->Config.Instance) {
    this->Counters.ServedHere.Increment();
    return this->LocalHandler.handle(Request, Routed, Owner, Watch, Yield);
  }
  if (Routed.Forwarded) {
    return notRunResult(OutcomeReason::NotOwner,
                        "another instance owns the key");
  }

  this->Counters.Forwarded.Increment();
  RequestResult Result =
      this->Forwarder.forward(Request, Routed, Owner, Watch, Yield);
  if (Result.Reason == OutcomeReason::NotOwner) {
    this->ToControlThread.push(RoutingStale());
  }
  return Result;
}

bool DataPlane::shouldRetry(const RequestResult &Result,
                            const RoutedRequest &Routed,
                            const CallerWatch &Watch) const {
  bool TimeLeft = BootClock::now() + RetryDelay < Routed.Deadline;
  if (Watch.Disconnected || !TimeLeft ||
      this->RequestsAwaitingRetry >= this->Config.MaxWaitingRequests) {
    return false;
  }

  if (Result.Outcome == RequestOutcome::Unknown) {
    return Routed.Idempotent && !Routed.Forwarded &&
           Result.Reason == OutcomeReason::ConnectionBroken;
  }

  // A forwarded request is retried here only during a handover; in all other
  // cases the daemon that received it from the caller retries.
  bool RetriesHere =
      !Routed.Forwarded || Result.Reason == OutcomeReason::SlotMoving;
  return Result.Outcome == RequestOutcome::NotRun && RetriesHere &&
         isTransient(Result.Reason);
}

void DataPlane::waitBeforeRetry(TimePoint Deadline,
                                const asio::yield_context &Yield) {
  auto Remaining =
      std::chrono::ceil<std::chrono::milliseconds>(Deadline - BootClock::now());

  ++this->RequestsAwaitingRetry;
  sleepFor(this->Io, std::min(RetryDelay, Remaining), Yield);
  --this->RequestsAwaitingRetry;
}

void DataPlane::logResult(const RoutedRequest &Routed,
                          const RequestResult &Result,
                          const KeyOwner &Owner) const {
  std::string_view OwnerId =
      Owner.Owner ? std::string_view(Owner.Owner->Id) : "none";
  bool Here = Owner.Owner && Owner.Owner->Id == this->Config.Instance;

  LogLine(LogLevel::Info, "route", Routed.Forwarded ? "serve" : "route")
      .with("request", Routed.RequestId)
      .with("keyspace", Routed.Keyspace)
      .with("slot", Owner.Slot)
      .with("owner", OwnerId)
      .with("to", Here ? "here" : "peer")
      .with("outcome", nameOf(Result.Outcome))
      .with("reason", nameOf(Result.Reason))
      .with("status", Result.Response.result_int())
      .with("ms", toMilliseconds(BootClock::now() - Routed.ArrivedAt));
}

void DataPlane::countOutcome(const RequestResult &Result) {
  switch (Result.Outcome) {
  case RequestOutcome::Answered:
    this->Counters.Answered.Increment();
    return;
  case RequestOutcome::NotRun:
    this->Counters.NotRun.Increment();
    return;
  case RequestOutcome::Unknown:
    this->Counters.Unknown.Increment();
    return;
  }
}

void DataPlane::onControlMessage(RequestThreadMessage &&Message) {
  if (auto *Routing = std::get_if<RoutingChanged>(&Message)) {
    this->Table = std::move(Routing->Table);
    this->LocalHandler.updateOwnedSlots(*this->Table, this->Config.Instance,
                                        BootClock::now());
    this->Forwarder.onRoutingChanged(*this->Table);
  } else if (auto *Lease = std::get_if<LeaseExtended>(&Message)) {
    this->LocalHandler.setLeaseExpiry(Lease->ExpiresAt);
  } else if (auto *Freeze = std::get_if<FreezeSlots>(&Message)) {
    this->LocalHandler.gate().freeze(Freeze->Handover, Freeze->Slots,
                                     Freeze->WaitForBusy);
    this->reportFrozenSlots();
  } else if (auto *Thaw = std::get_if<ThawSlots>(&Message)) {
    this->LocalHandler.gate().unfreeze(Thaw->Handover);
  } else if (auto *Backend = std::get_if<BackendStatus>(&Message)) {
    this->LocalHandler.setBackend(*Backend);
  } else if (auto *Order = std::get_if<QueueOrderChanged>(&Message)) {
    this->LocalHandler.setQueueOrder(Order->Order);
  } else if (auto *Drain = std::get_if<DrainStateChanged>(&Message)) {
    this->onDrain(*Drain);
  }
}

void DataPlane::onDrain(const DrainStateChanged &Drain) {
  this->CallerServer.disableKeepAlive();

  if (Drain.HasLeft) {
    this->LeftAt = BootClock::now();
    this->CallerServer.drain();
    this->PeerServer.disableKeepAlive();
  }
}

void DataPlane::reportConnectionsClosed() {
  if (!this->LeftAt) {
    return;
  }

  // Peers close their connections once they learn that this instance has left.
  // Closing them from here at once could drop a request that is in transit.
  if (BootClock::now() - *this->LeftAt > this->Config.DrainLinger) {
    this->PeerServer.drain();
  }

  bool Done = this->CallerServer.connectionCount() == 0 &&
              this->PeerServer.connectionCount() == 0;
  if (Done) {
    this->LeftAt.reset();
    this->ToControlThread.push(ConnectionsClosed());
  }
}

void DataPlane::reportFrozenSlots() {
  for (FrozenSlots &Ready : this->LocalHandler.gate().takeReadyFreezes()) {
    this->ToControlThread.push(SlotsFrozen{std::move(Ready)});
  }
}

std::string DataPlane::nextRequestId() {
  return absl::StrCat(this->Config.Instance, "-",
                      absl::Hex(this->ProcessStartNs), "-",
                      ++this->LastRequestNumber);
}

} // namespace hemlockspar
