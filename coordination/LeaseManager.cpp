#include "coordination/LeaseManager.h"

#include "core/EnumNames.h"
#include "core/ErrorMacros.h"

#include <algorithm>

namespace hemlockspar {

namespace {

constexpr std::array<const char *, 4> MembershipNames = {
    "outside", "inside", "superseded", "released"};

bool sameWitnesses(const WitnessSet &Left, const WitnessSet &Right) {
  return std::is_permutation(Left.begin(), Left.end(), Right.begin(),
                             Right.end());
}

std::size_t countCommon(const WitnessSet &Left, const WitnessSet &Right) {
  return std::count_if(
      Left.begin(), Left.end(), [&](const WitnessRef &Instance) {
        return std::find(Right.begin(), Right.end(), Instance) != Right.end();
      });
}

} // namespace

const char *nameOf(Membership State) {
  return enumName(MembershipNames, State);
}

LeaseManager::LeaseManager(MemberContext &Context)
    : Context(Context), Holder(Context.Identity.Instance, Context.Times),
      Selector({{Context.Identity.Instance, Context.Identity.Incarnation},
                Context.Identity.Region,
                Context.Identity.DataCenter}) {}

void LeaseManager::onOwnLeaseRow(TimePoint Now) {
  const InstanceDirectory::Instance *Self = this->Context.self();
  HS_FAIL_COND(!Self);

  const LeaseRow &Row = Self->Lease;
  hemlockspar::Incarnation OwnIncarnation = this->Context.Identity.Incarnation;
  bool Ours =
      Row.State == LeaseState::Live && Row.Incarnation == OwnIncarnation;

  if (Ours) {
    this->Holder.adopt(Row, Self->LeaseVersion, Now);
    this->WitnessChangeDueAt.reset();
    this->WitnessToReplace.reset();
    this->State = Membership::Joined;
    return;
  }

  this->Holder.reset();

  if (Row.State == LeaseState::Released && Row.Incarnation == OwnIncarnation) {
    this->State = Membership::Released;
    this->Context.Actions.reportDecision(
        {PlacementEvent::Released, this->Context.Identity.Instance, 0, ""});
    return;
  }

  if (Row.Incarnation > OwnIncarnation) {
    this->State = Membership::Superseded;
    this->Context.Actions.reportDecision(
        {PlacementEvent::Superseded, this->Context.Identity.Instance, 0,
         "a later process runs under this instance name"});
    return;
  }

  if (this->State == Membership::Joined) {
    this->State = Membership::NotJoined;
    this->Context.Actions.reportDecision({PlacementEvent::LeaseForgotten,
                                          this->Context.Identity.Instance, 0,
                                          "the lease was taken over"});
  }
}

void LeaseManager::onRenewalReply(const InstanceId &Witness,
                                  const RenewalRequest &Request,
                                  const RenewalReply &Reply, TimePoint SentAt) {
  this->Holder.onRenewalReply(Witness, Request, Reply, SentAt);
}

void LeaseManager::tick(TimePoint Now) {
  bool MayWrite = !this->writePending(Now) && Now >= this->RetryAt;

  if (this->State == Membership::NotJoined && MayWrite) {
    this->join(Now);
  }

  if (this->State != Membership::Joined) {
    return;
  }

  RowVersion Complete = this->Context.Cache.completeVersion();
  for (const Renewal &Due : this->Holder.renewalsDue(Now, Complete)) {
    this->Context.Actions.sendRenewal(Due.Witness, Due.Request);
  }

  if (MayWrite) {
    this->maintainLease(Now);
  }
}

void LeaseManager::setTakeoverDelay(std::uint64_t DelayMs) {
  this->TakeoverDelayMs = DelayMs;
}

LeaseRow LeaseManager::newLeaseRow(TimePoint Now) {
  const MemberIdentity &Identity = this->Context.Identity;

  LeaseRow Row;
  Row.Incarnation = Identity.Incarnation;
  Row.State = LeaseState::Live;
  Row.Region = Identity.Region;
  Row.DataCenter = Identity.DataCenter;
  Row.Addresses = Identity.Addresses;
  Row.Witnesses = this->chooseWitnesses({}, Now);
  Row.TakeoverDelayMs = this->TakeoverDelayMs;
  return Row;
}

void LeaseManager::join(TimePoint Now) {
  if (!this->Context.Table.healthy()) {
    return;
  }

  const InstanceId &Id = this->Context.Identity.Instance;
  const InstanceDirectory::Instance *Self = this->Context.self();
  bool HasRow = Self && Self->LeaseVersion != 0;

  // The lease of an earlier process must first be proven expired.
  if (HasRow && Self->Lease.State == LeaseState::Live) {
    return;
  }

  LeaseRow Row = this->newLeaseRow(Now);
  Row.Epoch = HasRow ? Self->Lease.Epoch + 1 : 1;

  HoldingRow Holding;
  Holding.Epoch = Row.Epoch;

  TableTransaction Transaction;
  addConditionalWrite(Transaction, leaseKey(Id),
                      HasRow ? Self->LeaseVersion : 0, Row.toText());
  addConditionalWrite(Transaction, holdingKey(Id),
                      HasRow ? Self->HoldingVersion : 0, Holding.toText());

  this->Context.Actions.reportDecision(
      {PlacementEvent::Joined, Id, 0,
       "lease epoch " + std::to_string(Row.Epoch)});
  this->commitLeaseRow(Transaction, Now);
}

void LeaseManager::maintainLease(TimePoint Now) {
  if (this->Holder.renewsInTable()) {
    this->writeLeaseRow(Now);
    this->RetryAt = Now + this->Context.Times.RenewInterval;
    return;
  }

  if (Now >= this->NextWitnessCheckAt) {
    this->NextWitnessCheckAt = Now + this->Context.Times.WitnessCheckInterval;
    this->checkWitnesses(Now);
  }
}

void LeaseManager::checkWitnesses(TimePoint Now) {
  this->avoidUnresponsiveWitnesses(Now);
  this->selectWitnessToReplace(Now);

  const WitnessSet &Current = this->Context.self()->Lease.Witnesses;
  WitnessSet Usable = this->usableWitnesses(Now);
  WitnessSet Wanted = this->chooseWitnesses(Usable, Now);

  // With too few candidates the current witnesses are kept while the lease is
  // valid; once it is not, the lease is renewed in the table instead.
  bool KeepsCurrent = Wanted.empty() && this->Holder.holds(Now);
  bool Improves = !sameWitnesses(Wanted, Current) && !KeepsCurrent;
  if (!Improves) {
    this->WitnessChangeDueAt.reset();
    return;
  }

  bool MajorityAtRisk = Usable.size() <= majorityOf(Current.size());
  auto Jitter = this->Context.Times.ReplacementJitterPerInstance *
                static_cast<int>(this->Context.Directory.liveCount());

  if (!this->WitnessChangeDueAt) {
    Duration Wait = MajorityAtRisk ? Duration::zero()
                                   : this->Context.randomDuration(Jitter);
    this->WitnessChangeDueAt = Now + Wait;
  }

  // Until the current version is acknowledged by a majority, only the
  // acknowledgements of the previous version keep the lease valid. A write now
  // would discard them.
  bool OnlyPreviousHolds =
      this->Holder.holds(Now) && !this->Holder.currentVersionHolds(Now);

  if (Now >= *this->WitnessChangeDueAt && !OnlyPreviousHolds &&
      this->Context.Table.healthy()) {
    this->writeLeaseRow(Now);
  }
}

void LeaseManager::avoidUnresponsiveWitnesses(TimePoint Now) {
  for (const InstanceId &Unresponsive :
       this->Holder.unresponsiveWitnesses(Now)) {
    this->AvoidUntil[Unresponsive] =
        Now + this->Context.Times.WitnessAvoidanceTime;
  }
}

void LeaseManager::selectWitnessToReplace(TimePoint Now) {
  bool Scheduled = this->NextRebalanceCheckAt.has_value();
  if (Scheduled && Now < *this->NextRebalanceCheckAt) {
    return;
  }

  Duration Interval = this->Context.Times.WitnessRebalanceInterval;
  this->NextRebalanceCheckAt =
      Now + Interval / 2 + this->Context.randomDuration(Interval);
  this->WitnessToReplace.reset();

  const WitnessSet &Current = this->Context.self()->Lease.Witnesses;
  bool AllUsable = this->usableWitnesses(Now).size() == Current.size();
  if (!Scheduled || !AllUsable) {
    return;
  }

  // Witnesses are otherwise kept while they answer, so the instances that
  // joined first, when there was no other choice, would stay witnesses of
  // nearly all others. Only one is replaced at a time, so that a majority
  // stays.
  WitnessSet Best = this->chooseWitnesses({}, Now);
  for (const WitnessRef &Witness : Current) {
    WitnessSet Others = Current;
    std::erase(Others, Witness);

    WitnessSet Without = this->chooseWitnesses(Others, Now);
    if (countCommon(Without, Best) > countCommon(Current, Best)) {
      this->WitnessToReplace = Witness;
      return;
    }
  }
}

WitnessSet LeaseManager::usableWitnesses(TimePoint Now) const {
  WitnessSet Usable;
  std::vector<InstanceId> Unresponsive =
      this->Holder.unresponsiveWitnesses(Now);

  for (const WitnessRef &Witness : this->Context.self()->Lease.Witnesses) {
    const InstanceDirectory::Instance *Instance =
        this->Context.Directory.find(Witness.Instance);
    bool Answers = std::find(Unresponsive.begin(), Unresponsive.end(),
                             Witness.Instance) == Unresponsive.end();
    bool SameProcess = Instance && Instance->live() &&
                       Instance->Lease.Incarnation == Witness.Incarnation;
    if (Answers && SameProcess && this->WitnessToReplace != Witness) {
      Usable.push_back(Witness);
    }
  }

  return Usable;
}

WitnessSet LeaseManager::chooseWitnesses(const WitnessSet &Keep,
                                         TimePoint Now) const {
  std::vector<WitnessCandidate> Candidates;

  for (const auto &[Id, Instance] : this->Context.Directory.instances()) {
    auto Avoided = this->AvoidUntil.find(Id);
    bool Avoid = Avoided != this->AvoidUntil.end() && Now < Avoided->second;
    if (Id == this->Context.Identity.Instance || !Instance.live() || Avoid) {
      continue;
    }
    Candidates.push_back({{Id, Instance.Lease.Incarnation},
                          Instance.Lease.Region,
                          Instance.Lease.DataCenter});
  }

  return this->Selector.choose(std::move(Candidates), Keep);
}

void LeaseManager::writeLeaseRow(TimePoint Now) {
  const InstanceDirectory::Instance *Self = this->Context.self();
  HS_FAIL_COND(!Self || Self->Lease.State != LeaseState::Live);

  LeaseRow Row = this->newLeaseRow(Now);
  Row.Epoch = Self->Lease.Epoch;
  Row.Witnesses = this->chooseWitnesses(this->usableWitnesses(Now), Now);
  Row.PreviousVersion = Self->LeaseVersion;
  Row.PreviousWitnesses = Self->Lease.Witnesses;

  bool Changed = Row.Witnesses != Self->Lease.Witnesses;
  if (Changed) {
    this->Context.Actions.reportDecision(
        {PlacementEvent::WitnessesChanged, this->Context.Identity.Instance, 0,
         std::to_string(Row.Witnesses.size()) + " witnesses"});
  }

  TableTransaction Transaction;
  addConditionalWrite(Transaction, leaseKey(this->Context.Identity.Instance),
                      Self->LeaseVersion, Row.toText());

  // A witness that the new row no longer names must not mistake the missing
  // renewals for a failure; hence the row is pushed when its witnesses change.
  this->Holder.beforeRowWrite();
  this->commitLeaseRow(Transaction, Now, Changed);
}

void LeaseManager::release(TimePoint Now) {
  const InstanceDirectory::Instance *Self = this->Context.self();
  if (this->State != Membership::Joined || this->writePending(Now) ||
      Now < this->RetryAt) {
    return;
  }

  LeaseRow Row = Self->Lease;
  Row.State = LeaseState::Released;
  Row.Witnesses.clear();
  Row.PreviousVersion = 0;
  Row.PreviousWitnesses.clear();

  TableTransaction Transaction;
  const InstanceId &Id = this->Context.Identity.Instance;
  addConditionalWrite(Transaction, leaseKey(Id), Self->LeaseVersion,
                      Row.toText());
  Transaction.Conditions.push_back({holdingKey(Id), Self->HoldingVersion});

  // The row is pushed at once so that peers do not mistake the missing renewals
  // for a failure.
  this->Holder.beforeRowWrite();
  this->commitLeaseRow(Transaction, Now, true);
}

void LeaseManager::commitLeaseRow(const TableTransaction &Transaction,
                                  TimePoint Now, bool Push) {
  this->WriteOutstanding = true;
  this->Context.Table.commit(Transaction, [this, Transaction, Now,
                                           Push](const CommitResult &Result,
                                                 TimePoint Later) {
    this->onLeaseRowCommitted(Result, Now, Later);
    if (Push && Result.Outcome == CommitOutcome::Committed) {
      this->Context.Actions.pushRows(writtenRows(Transaction, Result.Version));
    }
  });
}

void LeaseManager::onLeaseRowCommitted(const CommitResult &Result,
                                       TimePoint SentAt, TimePoint Now) {
  this->WriteOutstanding = false;

  switch (Result.Outcome) {
  case CommitOutcome::Committed:
    this->Holder.onTableRenewal(Result.Version, SentAt);
    return;
  case CommitOutcome::Conflict:
    this->UnresolvedSince = Now;
    return;
  case CommitOutcome::Unknown:
    this->UnresolvedSince = Now;
    this->RetryAt = Now + this->Context.retryDelay();
    return;
  case CommitOutcome::NotRun:
    this->RetryAt = Now + this->Context.retryDelay();
    return;
  }
}

bool LeaseManager::writePending(TimePoint Now) {
  bool Resolved = this->UnresolvedSince &&
                  this->Context.Table.hasReadSince(*this->UnresolvedSince);
  if (Resolved) {
    this->UnresolvedSince.reset();
    this->RetryAt = std::max(this->RetryAt, Now);
  }

  return this->WriteOutstanding || this->UnresolvedSince;
}

} // namespace hemlockspar
