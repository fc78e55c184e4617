#include "coordination/Mover.h"

#include "core/ErrorMacros.h"

#include <algorithm>
#include <cmath>

namespace hemlockspar {

Mover::Mover(MemberContext &Context, const LeaseKeeper &Keeper)
    : Context(Context), Keeper(Keeper) {}

bool Mover::drained() const {
  const Directory::Instance *Self = this->Context.self();
  bool OwnsNothing = !Self || countSlots(Self->Holding.Slots) == 0;
  return this->idle() && OwnsNothing;
}

bool Mover::requestMove(const SlotsByKeyspace &Slots,
                        const InstanceId &Receiver, TimePoint Now) {
  HS_FAIL_COND_V(Receiver == this->Context.Identity.Instance, false);

  bool CanStart =
      this->idle() && this->Keeper.holds(Now) && this->Context.Table.healthy();
  if (!CanStart) {
    return false;
  }

  this->begin(Slots, {Receiver}, Now);
  return true;
}

void Mover::tick(TimePoint Now) {
  switch (this->Phase) {
  case MovePhase::Idle:
    this->startNext(Now);
    return;
  case MovePhase::Checking:
    this->checkTable(Now);
    return;
  case MovePhase::Freezing:
    if (this->Keeper.membership() != Membership::Inside) {
      this->finish(PlacementEvent::HandoverFailed, "lease lost");
    }
    return;
  case MovePhase::Committing:
    return;
  case MovePhase::Unresolved:
    this->resolve(Now);
    return;
  }
}

void Mover::startNext(TimePoint Now) {
  bool CanWrite = this->Keeper.membership() == Membership::Inside &&
                  this->Keeper.holds(Now) && this->Context.Table.healthy() &&
                  Now >= this->RetryAt;
  const Directory::Instance *Self = this->Context.self();
  if (!CanWrite || !Self || !Self->live()) {
    return;
  }

  if (this->updateOwnRow(Now) || this->giveUpSlots(Now)) {
    return;
  }
  this->claimFromPool(Now);
}

bool Mover::updateOwnRow(TimePoint Now) {
  const Directory::Instance *Self = this->Context.self();
  HoldingRow Row = Self->Holding;
  bool Serves = this->Backend.Serving && !this->Draining;

  bool Changed = Row.Accepting != Serves;
  if (Serves) {
    Changed = Changed || Row.Service != this->Backend.Service ||
              Row.Capacity != this->Backend.Capacity;
    Row.Service = this->Backend.Service;
    Row.Capacity = this->Backend.Capacity;
  }
  if (!Changed) {
    return false;
  }

  Row.Accepting = Serves;

  TableTransaction Transaction;
  writeAt(Transaction, holdingKey(this->Context.Identity.Instance),
          Self->HoldingVersion, Row.toText());
  this->commit(Transaction, Now);
  return true;
}

bool Mover::giveUpSlots(TimePoint Now) {
  const Directory::Instance *Self = this->Context.self();
  if (Self->Holding.Accepting || countSlots(Self->Holding.Slots) == 0) {
    return false;
  }

  std::vector<InstanceId> To = this->Context.Known.receivers(
      Self->Holding.Service, this->Context.Identity.Instance);

  // A server that may come back keeps its slots while nobody can take them.
  if (To.empty() && !this->Draining) {
    return false;
  }
  if (To.size() > Transfers::MaxReceivers) {
    To.resize(Transfers::MaxReceivers);
  }

  this->begin(Self->Holding.Slots, To, Now);
  return true;
}

std::vector<Mover::OpenPool> Mover::openPools() const {
  std::vector<OpenPool> Open;
  const std::string &Service = this->Context.self()->Holding.Service;

  for (const TableRow *Row : this->Context.Cache.withPrefix(PoolPrefix)) {
    auto Pool = PoolRow::fromText(*Row->Value);
    if (Pool && Pool->Service == Service && !Pool->Slots.empty()) {
      Open.push_back(
          {*withoutPrefix(Row->Key, PoolPrefix), std::move(Pool->Slots)});
    }
  }
  return Open;
}

bool Mover::poolHasSlots() const {
  return this->Context.self() && !this->openPools().empty();
}

bool Mover::claimFromPool(TimePoint Now) {
  const Directory::Instance *Self = this->Context.self();
  if (!Self->Holding.Accepting) {
    return false;
  }

  for (const OpenPool &Pool : this->openPools()) {
    std::size_t Share = this->fairShare(Pool.Keyspace, Pool.Slots);
    auto Owned = Self->Holding.Slots.find(Pool.Keyspace);
    std::size_t Have =
        Owned == Self->Holding.Slots.end() ? 0 : Owned->second.size();
    if (Have >= Share) {
      continue;
    }

    std::size_t Count = std::min(Share - Have, Pool.Slots.size());
    Transfers Build(this->Context.Known, this->Context.Cache);
    this->Context.Actions.decided({PlacementEvent::SlotsClaimed,
                                   this->Context.Identity.Instance, Count,
                                   Pool.Keyspace});
    this->commit(
        Build.claim(Pool.Keyspace, this->Context.Identity.Instance, Count),
        Now);
    return true;
  }

  return false;
}

std::size_t Mover::fairShare(const std::string &Keyspace,
                             const SlotGrants &Pool) const {
  double Slots = static_cast<double>(Pool.size());
  double Capacity = 0;
  double Own = 0;
  const std::string &Service = this->Context.self()->Holding.Service;

  for (const auto &[Id, Known] : this->Context.Known.instances()) {
    if (!Known.live() || Known.Holding.Service != Service) {
      continue;
    }

    auto Owned = Known.Holding.Slots.find(Keyspace);
    if (Owned != Known.Holding.Slots.end()) {
      Slots += static_cast<double>(Owned->second.size());
    }
    if (Known.Holding.Accepting) {
      Capacity += Known.Holding.Capacity;
    }
    if (Id == this->Context.Identity.Instance) {
      Own = Known.Holding.Capacity;
    }
  }

  bool Known = Capacity > 0;
  return Known ? static_cast<std::size_t>(std::ceil(Slots * Own / Capacity))
               : 0;
}

void Mover::begin(const SlotsByKeyspace &Slots, std::vector<InstanceId> To,
                  TimePoint Now) {
  this->Phase = MovePhase::Checking;
  this->Receivers = std::move(To);
  this->Moving = Slots;
  this->MovingCount = countSlots(Slots);
  this->CheckStartedAt = Now;
  this->CheckingRead = this->Context.Table.requestRead();
}

void Mover::checkTable(TimePoint Now) {
  // A write that the table does not answer leaves frozen slots without an
  // owner for as long as the outage lasts, so the table must have answered
  // just now.
  if (this->Context.Table.hasCompleted(this->CheckingRead)) {
    this->freeze(Now);
    return;
  }

  bool TimedOut = Now - this->CheckStartedAt > this->Context.Times.TableTimeout;
  if (TimedOut || !this->Context.Table.healthy()) {
    this->Context.Actions.decided(
        {PlacementEvent::HandoverFailed,
         this->Receivers.empty() ? "pool" : this->Receivers.front(),
         this->MovingCount, "table does not answer"});
    this->RetryAt = Now + this->Context.retryDelay();
    this->finish(PlacementEvent::HandoverFailed, "");
  }
}

void Mover::freeze(TimePoint Now) {
  bool WaitForBusy =
      this->BusySince &&
      Now - *this->BusySince > this->Context.Times.BusySlotPatience;

  this->Phase = MovePhase::Freezing;
  this->Handover = ++this->LastHandover;

  this->Context.Actions.decided(
      {PlacementEvent::HandoverStarted,
       this->Receivers.empty() ? "pool" : this->Receivers.front(),
       this->MovingCount, WaitForBusy ? "wait for busy slots" : ""});
  this->Context.Actions.freezeSlots(this->Handover, this->Moving, WaitForBusy);
}

void Mover::onSlotsIdle(std::uint64_t Handover, const SlotsByKeyspace &Frozen,
                        TimePoint Now) {
  if (this->Phase != MovePhase::Freezing || Handover != this->Handover) {
    return;
  }

  std::size_t FrozenCount = countSlots(Frozen);
  bool SomeBusy = FrozenCount < this->MovingCount;
  this->BusySince =
      SomeBusy ? std::optional(this->BusySince.value_or(Now)) : std::nullopt;

  bool StillValid = FrozenCount > 0 &&
                    this->Keeper.membership() == Membership::Inside &&
                    this->Keeper.holds(Now);
  for (const InstanceId &Receiver : this->Receivers) {
    const Directory::Instance *Known = this->Context.Known.find(Receiver);
    StillValid =
        StillValid && Known && Known->live() && Known->Holding.Accepting;
  }

  if (!StillValid) {
    this->RetryAt = Now + this->Context.Times.VoteInterval;
    this->finish(PlacementEvent::HandoverFailed,
                 FrozenCount == 0 ? "all slots busy" : "receiver unfit");
    return;
  }

  this->MovingCount = FrozenCount;
  Transfers Build(this->Context.Known, this->Context.Cache);
  this->commit(
      Build.handover(this->Context.Identity.Instance, Frozen, this->Receivers),
      Now);
}

void Mover::commit(const TableTransaction &Transaction, TimePoint) {
  this->Phase = MovePhase::Committing;
  this->WrittenAgainst = this->Context.self()->HoldingVersion;

  this->Context.Table.commit(
      Transaction,
      [this, Transaction](const CommitResult &Result, TimePoint Later) {
        this->onCommitted(Transaction, Result, Later);
      });
}

void Mover::onCommitted(const TableTransaction &Transaction,
                        const CommitResult &Result, TimePoint Now) {
  if (Result.Outcome == CommitOutcome::Committed) {
    this->Context.Actions.pushRows(writtenRows(Transaction, Result.Version));
    this->finish(PlacementEvent::HandoverDone, "");
    return;
  }

  this->RetryAt = Now + this->Context.retryDelay();

  if (Result.Outcome == CommitOutcome::NotRun) {
    this->finish(PlacementEvent::HandoverFailed, "table did not answer");
    return;
  }

  // Rows known here are out of date, or the write may have run or may run
  // yet: what is read next decides.
  this->Phase = MovePhase::Unresolved;
  this->UnresolvedSince = Now;
}

void Mover::resolve(TimePoint Now) {
  bool HasRead = this->Context.Table.hasReadSince(this->UnresolvedSince);
  const Directory::Instance *Self = this->Context.self();
  if (!HasRead || Now < this->RetryAt) {
    return;
  }

  bool RowChanged = Self->HoldingVersion != this->WrittenAgainst;
  if (RowChanged || this->Handover == 0) {
    this->finish(PlacementEvent::HandoverFailed, "settled by reading back");
    return;
  }

  // Raising the row's version makes sure that the first write can no longer
  // run.
  TableTransaction Settle;
  writeAt(Settle, holdingKey(this->Context.Identity.Instance),
          Self->HoldingVersion, Self->Holding.toText());
  this->commit(Settle, Now);
}

void Mover::finish(PlacementEvent Event, const std::string &Detail) {
  if (this->Handover != 0) {
    this->Context.Actions.decided(
        {Event, this->Receivers.empty() ? "pool" : this->Receivers.front(),
         this->MovingCount, Detail});
    this->Context.Actions.thawSlots(this->Handover);
  }

  this->Phase = MovePhase::Idle;
  this->Handover = 0;
  this->Receivers.clear();
  this->Moving.clear();
}

} // namespace hemlockspar
