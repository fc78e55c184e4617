#include "daemon/RequestPlane.h"

#include "core/ErrorMacros.h"
#include "net/Event.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

namespace hemlockspar {

namespace asio = boost::asio;

namespace {

constexpr auto RetryPause = std::chrono::milliseconds(10);
constexpr auto ExpireInterval = std::chrono::milliseconds(10);
constexpr auto LoadInterval = std::chrono::milliseconds(500);
constexpr auto GrantInterval = std::chrono::milliseconds(400);

HttpLimits peerLimits(const HttpLimits &Callers) {
  HttpLimits Peers = Callers;
  Peers.HeaderBytes += 4096;
  return Peers;
}

} // namespace

RequestPlane::RequestPlane(asio::io_context &Io, const Settings &Config,
                           Metrics &Counters,
                           BoundedRing<ToRequests> &FromControl,
                           BoundedRing<ToControl> &ToControlThread)
    : Io(Io), Config(Config), Counters(Counters),
      ToControlThread(ToControlThread), Table(std::make_shared<RoutingTable>()),
      Owned(Io, Counters,
            [this] { this->ToControlThread.push(BackendLost()); }),
      Peers(Io, Counters, Config),
      CallerServer(Io, Config.Callers,
                   [this](HttpRequest &Request, CallerWatch &Watch,
                          const asio::yield_context &Yield) {
                     return this->onRequest(Request, Watch, false, Yield);
                   }),
      PeerServer(Io, peerLimits(Config.Callers),
                 [this](HttpRequest &Request, CallerWatch &Watch,
                        const asio::yield_context &Yield) {
                   return this->onRequest(Request, Watch, true, Yield);
                 }),
      RunMark(static_cast<std::uint64_t>(
          BootClock::now().time_since_epoch().count())) {
  FromControl.setHandler(
      [this](ToRequests &&Message) { this->onControl(std::move(Message)); });
}

absl::Status RequestPlane::start() {
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

void RequestPlane::startTimers() {
  this->every(ExpireInterval, [this](const asio::yield_context &) {
    this->Owned.expireWaiting();
    this->reportFrozen();
    this->reportDone();
  });
  this->every(LoadInterval, [this](const asio::yield_context &) {
    LoadMeasured Report;
    Report.Load = this->Owned.measureLoad();
    Report.InFlight = this->Owned.runningCount();
    this->ToControlThread.push(std::move(Report));
  });
  this->every(GrantInterval, [this](const asio::yield_context &Yield) {
    this->Owned.sendGrants(Yield);
  });
}

void RequestPlane::every(
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

HttpResponse RequestPlane::onRequest(HttpRequest &Request, CallerWatch &Watch,
                                     bool FromPeer,
                                     const asio::yield_context &Yield) {
  eraseHopHeaders(Request);
  eraseInternalHeaders(Request);

  absl::StatusOr<RoutedRequest> Routed = readRequest(
      Request, {this->Config.DefaultTimeout, this->Config.MaxTimeout},
      BootClock::now());

  if (!Routed.ok()) {
    Answer Refusal = notRun(AnswerReason::BadRequest,
                            std::string(Routed.status().message()));
    LogLine(LogLevel::Info, "route", "refused")
        .with("reason", std::string_view(Routed.status().message().data(),
                                         Routed.status().message().size()));
    this->count(Refusal);
    return std::move(Refusal.Response);
  }

  Routed->Forwarded = FromPeer;
  if (Routed->RequestId.empty()) {
    Routed->RequestId = this->nextRequestId();
  }

  Answer Result = this->route(Request, *Routed, Watch, Yield);

  KeyOwner Owner;
  if (const KeyspaceRoute *Keyspace =
          this->Table->findKeyspace(Routed->Keyspace)) {
    Owner = this->Table->findOwner(*Keyspace, Routed->Key);
  }
  if (Owner.Owner) {
    const Endpoints &At = Owner.Owner->Addresses;
    Result.Response.set(headers::Owner,
                        absl::StrCat(At.Host, ":", At.CallerPort));
  }

  Result.Response.set(headers::RequestId, Routed->RequestId);
  this->logAnswer(*Routed, Result, Owner);
  this->count(Result);
  return std::move(Result.Response);
}

Answer RequestPlane::route(HttpRequest &Request, const RoutedRequest &Routed,
                           CallerWatch &Watch,
                           const asio::yield_context &Yield) {
  bool MayHaveRun = false;

  while (true) {
    Answer Result = this->tryOnce(Request, Routed, Watch, Yield);
    MayHaveRun = MayHaveRun || Result.Outcome == RequestOutcome::Unknown;

    if (this->shouldRetry(Result, Routed, Watch)) {
      this->pause(Routed.Deadline, Yield);
      continue;
    }

    // An earlier try may have run although the last one did not.
    if (MayHaveRun && Result.Outcome == RequestOutcome::NotRun) {
      return unknown(AnswerReason::ConnectionBroken,
                     "an earlier try may have run");
    }
    return Result;
  }
}

Answer RequestPlane::tryOnce(HttpRequest &Request, const RoutedRequest &Routed,
                             CallerWatch &Watch,
                             const asio::yield_context &Yield) {
  std::shared_ptr<const RoutingTable> Current = this->Table;
  const KeyspaceRoute *Keyspace = Current->findKeyspace(Routed.Keyspace);

  if (!Keyspace) {
    bool NothingKnown = Current->version() == 0;
    return NothingKnown
               ? notRun(AnswerReason::NoOwner, "no map of owners yet")
               : notRun(AnswerReason::UnknownKeyspace,
                        "no key space '" + Routed.Keyspace + "' is declared");
  }

  KeyOwner Owner = Current->findOwner(*Keyspace, Routed.Key);
  if (!Owner.Owner) {
    return notRun(AnswerReason::NoOwner, "the key has no owner now");
  }

  if (Owner.Owner->Id == this->Config.Instance) {
    this->Counters.ServedHere.Increment();
    return this->Owned.serve(Request, Routed, Owner, Watch, Yield);
  }
  if (Routed.Forwarded) {
    return notRun(AnswerReason::NotOwner, "another instance owns the key");
  }

  this->Counters.Forwarded.Increment();
  Answer Result = this->Peers.send(Request, Routed, Owner, Watch, Yield);
  if (Result.Reason == AnswerReason::NotOwner) {
    this->ToControlThread.push(RefreshWanted());
  }
  return Result;
}

bool RequestPlane::shouldRetry(const Answer &Result,
                               const RoutedRequest &Routed,
                               const CallerWatch &Watch) const {
  bool TimeLeft = BootClock::now() + RetryPause < Routed.Deadline;
  if (Watch.Gone || !TimeLeft ||
      this->Waiting >= this->Config.WaitingRequests) {
    return false;
  }

  if (Result.Outcome == RequestOutcome::Unknown) {
    return Routed.Idempotent && !Routed.Forwarded &&
           Result.Reason == AnswerReason::ConnectionBroken;
  }

  // A peer's request waits here only for a handover; for all else the daemon
  // that its caller spoke to tries again.
  bool WaitsHere =
      !Routed.Forwarded || Result.Reason == AnswerReason::SlotMoving;
  return Result.Outcome == RequestOutcome::NotRun && WaitsHere &&
         isTransient(Result.Reason);
}

void RequestPlane::pause(TimePoint Deadline, const asio::yield_context &Yield) {
  auto Left =
      std::chrono::ceil<std::chrono::milliseconds>(Deadline - BootClock::now());

  ++this->Waiting;
  sleepFor(this->Io, std::min(RetryPause, Left), Yield);
  --this->Waiting;
}

void RequestPlane::logAnswer(const RoutedRequest &Routed, const Answer &Result,
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

void RequestPlane::count(const Answer &Result) {
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

void RequestPlane::onControl(ToRequests &&Message) {
  if (auto *Routing = std::get_if<RoutingChanged>(&Message)) {
    this->Table = std::move(Routing->Table);
    this->Owned.setOwned(*this->Table, this->Config.Instance, BootClock::now());
    this->Peers.onRoutingChanged(*this->Table);
  } else if (auto *Lease = std::get_if<LeaseExtended>(&Message)) {
    this->Owned.setLease(Lease->Until);
  } else if (auto *Freeze = std::get_if<FreezeWanted>(&Message)) {
    this->Owned.gate().freeze(Freeze->Handover, Freeze->Slots,
                              Freeze->WaitForBusy);
    this->reportFrozen();
  } else if (auto *Thaw = std::get_if<ThawWanted>(&Message)) {
    this->Owned.gate().unfreeze(Thaw->Handover);
  } else if (auto *Backend = std::get_if<BackendChanged>(&Message)) {
    this->Owned.setBackend(*Backend);
  } else if (auto *Order = std::get_if<QueueOrderChanged>(&Message)) {
    this->Owned.setQueueOrder(Order->Order);
  } else if (auto *Drain = std::get_if<DrainAdvanced>(&Message)) {
    this->onDrain(*Drain);
  }
}

void RequestPlane::onDrain(const DrainAdvanced &Drain) {
  this->CallerServer.refuseKeepAlive();

  if (Drain.Left) {
    this->LeftAt = BootClock::now();
    this->CallerServer.drain();
    this->PeerServer.refuseKeepAlive();
  }
}

void RequestPlane::reportDone() {
  if (!this->LeftAt) {
    return;
  }

  // Peers close their connections once they hear of the leaving. Closed from
  // here, a request just under way on one could end without an answer.
  if (BootClock::now() - *this->LeftAt > this->Config.DrainLinger) {
    this->PeerServer.drain();
  }

  bool Done = this->CallerServer.connectionCount() == 0 &&
              this->PeerServer.connectionCount() == 0;
  if (Done) {
    this->LeftAt.reset();
    this->ToControlThread.push(ConnectionsDone());
  }
}

void RequestPlane::reportFrozen() {
  for (FrozenSlots &Ready : this->Owned.gate().takeReadyFreezes()) {
    this->ToControlThread.push(SlotsFrozen{std::move(Ready)});
  }
}

std::string RequestPlane::nextRequestId() {
  return absl::StrCat(this->Config.Instance, "-", absl::Hex(this->RunMark), "-",
                      ++this->LastRequest);
}

} // namespace hemlockspar
