#include "coordination/SlotMigrator.h"

#include "core/ErrorMacros.h"

#include <algorithm>
#include <cmath>

namespace hemlockspar {

SlotMigrator::SlotMigrator(MemberContext &Context, const LeaseManager &OwnLease)
    : Context(Context), OwnLease(OwnLease) {}

bool SlotMigrator::drained() const {
  const InstanceDirectory::Instance *Self = this->Context.self();
  bool OwnsNothing = !Self || countSlots(Self->Holding.Slots) == 0;
  return this->idle() && OwnsNothing;
}

bool SlotMigrator::requestMove(const SlotsByKeyspace &Slots,
                               const InstanceId &Receiver, TimePoint Now) {
  HS_FAIL_COND_V(Receiver == this->Context.Identity.Instance, false);

  bool CanStart = this->idle() && this->OwnLease.holds(Now) &&
                  this->Context.Table.healthy();
  if (!CanStart) {
    return false;
  }

  this->beginHandover(Slots, {Receiver}, Now);
  return true;
}

void SlotMigrator::tick(TimePoint Now) {
  switch (this->Phase) {
  case MovePhase::Idle:
    this->startNext(Now);
    return;
  case MovePhase::CheckingTable:
    this->checkTable(Now);
    return;
  case MovePhase::Freezing:
    if (this->OwnLease.membership() != Membership::Joined) {
      this->finish(PlacementEvent::HandoverFailed, "lease lost");
    }
    return;
  case MovePhase::Committing:
    return;
  case MovePhase::Unresolved:
    this->resolveUnknownCommit(Now);
    return;
  }
}

void SlotMigrator::startNext(TimePoint Now) {
  bool CanWrite = this->OwnLease.membership() == Membership::Joined &&
                  this->OwnLease.holds(Now) && this->Context.Table.healthy() &&
                  Now >= this->RetryAt;
  const InstanceDirectory::Instance *Self = this->Context.self();
  if (!CanWrite || !Self || !Self->live()) {
    return;
  }

  if (this->updateHoldingRow(Now) || this->handOverAllSlots(Now)) {
    return;
  }
  this->claimFromPool(Now);
}

bool SlotMigrator::updateHoldingRow(TimePoint Now) {
  const InstanceDirectory::Instance *Self = this->Context.self();
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
  addConditionalWrite(Transaction, holdingKey(this->Context.Identity.Instance),
                      Self->HoldingVersion, Row.toText());
  this->commit(Transaction, Now);
  return true;
}

bool SlotMigrator::handOverAllSlots(TimePoint Now) {
  const InstanceDirectory::Instance *Self = this->Context.self();
  if (Self->Holding.Accepting || countSlots(Self->Holding.Slots) == 0) {
    return false;
  }

  std::vector<InstanceId> To = this->Context.Directory.receivers(
      Self->Holding.Service, this->Context.Identity.Instance);

  // An instance whose backend server may recover keeps its slots while no other
  // instance can take them.
  if (To.empty() && !this->Draining) {
    return false;
  }
  if (To.size() > TransferBuilder::MaxReceivers) {
    To.resize(TransferBuilder::MaxReceivers);
  }

  this->beginHandover(Self->Holding.Slots, To, Now);
  return true;
}

std::vector<SlotMigrator::ClaimablePool> SlotMigrator::claimablePools() const {
  std::vector<ClaimablePool> Open;
  const std::string &Service = this->Context.self()->Holding.Service;

  for (const TableRow *Row : this->Context.Cache.withPrefix(PoolPrefix)) {
    auto Pool = PoolRow::fromText(*Row->Value);
    if (Pool && Pool->Service == Service && !Pool->Slots.empty()) {
      Open.push_back(
          {*stripPrefix(Row->Key, PoolPrefix), std::move(Pool->Slots)});
    }
  }
  return Open;
}

bool SlotMigrator::hasClaimableSlots() const {
  return this->Context.self() && !this->claimablePools().empty();
}

bool SlotMigrator::claimFromPool(TimePoint Now) {
  const InstanceDirectory::Instance *Self = this->Context.self();
  if (!Self->Holding.Accepting) {
    return false;
  }

  for (const ClaimablePool &Pool : this->claimablePools()) {
    std::size_t Share = this->fairShare(Pool.Keyspace, Pool.Slots);
    auto Owned = Self->Holding.Slots.find(Pool.Keyspace);
    std::size_t Have =
        Owned == Self->Holding.Slots.end() ? 0 : Owned->second.size();
    if (Have >= Share) {
      continue;
    }

    std::size_t Count = std::min(Share - Have, Pool.Slots.size());
    TransferBuilder Builder(this->Context.Directory, this->Context.Cache);
    this->Context.Actions.reportDecision({PlacementEvent::SlotsClaimed,
                                          this->Context.Identity.Instance,
                                          Count, Pool.Keyspace});
    this->commit(
        Builder.claim(Pool.Keyspace, this->Context.Identity.Instance, Count),
        Now);
    return true;
  }

  return false;
}

std::size_t SlotMigrator::fairShare(const std::string &Keyspace,
                                    const SlotGrants &Pool) const {
  double Slots = static_cast<double>(Pool.size());
  double Capacity = 0;
  double Own = 0;
  const std::string &Service = this->Context.self()->Holding.Service;

  for (const auto &[Id, Instance] : this->Context.Directory.instances()) {
    if (!Instance.live() || Instance.Holding.Service != Service) {
      continue;
    }

    auto Owned = Instance.Holding.Slots.find(Keyspace);
    if (Owned != Instance.Holding.Slots.end()) {
      Slots += static_cast<double>(Owned->second.size());
    }
    if (Instance.Holding.Accepting) {
      Capacity += Instance.Holding.Capacity;
    }
    if (Id == this->Context.Identity.Instance) {
      Own = Instance.Holding.Capacity;
    }
  }

  bool HasCapacity = Capacity > 0;
  return HasCapacity
             ? static_cast<std::size_t>(std::ceil(Slots * Own / Capacity))
             : 0;
}

void SlotMigrator::beginHandover(const SlotsByKeyspace &Slots,
                                 std::vector<InstanceId> To, TimePoint Now) {
  this->Phase = MovePhase::CheckingTable;
  this->Receivers = std::move(To);
  this->MovingSlots = Slots;
  this->MovingSlotCount = countSlots(Slots);
  this->CheckStartedAt = Now;
  this->CheckReadNumber = this->Context.Table.requestRead();
}

void SlotMigrator::checkTable(TimePoint Now) {
  // If the table fails to answer the commit, the frozen slots go unserved for
  // the whole outage. A read must therefore succeed before any slot is frozen.
  if (this->Context.Table.hasCompletedRead(this->CheckReadNumber)) {
    this->freeze(Now);
    return;
  }

  bool TimedOut = Now - this->CheckStartedAt > this->Context.Times.TableTimeout;
  if (TimedOut || !this->Context.Table.healthy()) {
    this->Context.Actions.reportDecision(
        {PlacementEvent::HandoverFailed,
         this->Receivers.empty() ? "pool" : this->Receivers.front(),
         this->MovingSlotCount, "table does not answer"});
    this->RetryAt = Now + this->Context.retryDelay();
    this->finish(PlacementEvent::HandoverFailed, "");
  }
}

void SlotMigrator::freeze(TimePoint Now) {
  bool WaitForBusy =
      this->BusySince &&
      Now - *this->BusySince > this->Context.Times.BusySlotFreezeDelay;

  this->Phase = MovePhase::Freezing;
  this->HandoverId = ++this->LastHandoverId;

  this->Context.Actions.reportDecision(
      {PlacementEvent::HandoverStarted,
       this->Receivers.empty() ? "pool" : this->Receivers.front(),
       this->MovingSlotCount,
       WaitForBusy ? "waits for requests in flight" : ""});
  this->Context.Actions.freezeSlots(this->HandoverId, this->MovingSlots,
                                    WaitForBusy);
}

void SlotMigrator::onSlotsIdle(std::uint64_t HandoverId,
                               const SlotsByKeyspace &Frozen, TimePoint Now) {
  if (this->Phase != MovePhase::Freezing || HandoverId != this->HandoverId) {
    return;
  }

  std::size_t FrozenCount = countSlots(Frozen);
  bool SomeBusy = FrozenCount < this->MovingSlotCount;
  this->BusySince =
      SomeBusy ? std::optional(this->BusySince.value_or(Now)) : std::nullopt;

  bool StillValid = FrozenCount > 0 &&
                    this->OwnLease.membership() == Membership::Joined &&
                    this->OwnLease.holds(Now);
  for (const InstanceId &Receiver : this->Receivers) {
    const InstanceDirectory::Instance *Instance =
        this->Context.Directory.find(Receiver);
    StillValid = StillValid && Instance && Instance->live() &&
                 Instance->Holding.Accepting;
  }

  if (!StillValid) {
    this->RetryAt = Now + this->Context.Times.VoteInterval;
    this->finish(PlacementEvent::HandoverFailed,
                 FrozenCount == 0
                     ? "all slots have requests in flight"
                     : "lease not held or receiver not accepting slots");
    return;
  }

  this->MovingSlotCount = FrozenCount;
  TransferBuilder Builder(this->Context.Directory, this->Context.Cache);
  this->commit(Builder.handover(this->Context.Identity.Instance, Frozen,
                                this->Receivers),
               Now);
}

void SlotMigrator::commit(const TableTransaction &Transaction, TimePoint) {
  this->Phase = MovePhase::Committing;
  this->ReplacedHoldingVersion = this->Context.self()->HoldingVersion;

  this->Context.Table.commit(
      Transaction,
      [this, Transaction](const CommitResult &Result, TimePoint Later) {
        this->onCommitted(Transaction, Result, Later);
      });
}

void SlotMigrator::onCommitted(const TableTransaction &Transaction,
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

  // After a conflict the cached rows are out of date; after an unknown outcome
  // the write may have taken effect or may do so later. The next read decides.
  this->Phase = MovePhase::Unresolved;
  this->UnresolvedSince = Now;
}

void SlotMigrator::resolveUnknownCommit(TimePoint Now) {
  bool HasRead = this->Context.Table.hasReadSince(this->UnresolvedSince);
  const InstanceDirectory::Instance *Self = this->Context.self();
  if (!HasRead || Now < this->RetryAt) {
    return;
  }

  bool RowChanged = Self->HoldingVersion != this->ReplacedHoldingVersion;
  if (RowChanged || this->HandoverId == 0) {
    this->finish(PlacementEvent::HandoverFailed,
                 "outcome resolved by reading the table");
    return;
  }

  // A new version of the row makes the first write's condition fail, so that it
  // can no longer take effect.
  TableTransaction Settle;
  addConditionalWrite(Settle, holdingKey(this->Context.Identity.Instance),
                      Self->HoldingVersion, Self->Holding.toText());
  this->commit(Settle, Now);
}

void SlotMigrator::finish(PlacementEvent Event, const std::string &Detail) {
  if (this->HandoverId != 0) {
    this->Context.Actions.reportDecision(
        {Event, this->Receivers.empty() ? "pool" : this->Receivers.front(),
         this->MovingSlotCount, Detail});
    this->Context.Actions.unfreezeSlots(this->HandoverId);
  }

  this->Phase = MovePhase::Idle;
  this->HandoverId = 0;
  this->Receivers.clear();
  this->MovingSlots.clear();
}

} // namespace hemlockspar
