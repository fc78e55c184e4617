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

std::size_t countShared(const WitnessSet &Left, const WitnessSet &Right) {
  return std::count_if(Left.begin(), Left.end(), [&](const WitnessRef &Known) {
    return std::find(Right.begin(), Right.end(), Known) != Right.end();
  });
}

} // namespace

const char *nameOf(Membership State) { return nameIn(MembershipNames, State); }

LeaseManager::LeaseManager(MemberContext &Context)
    : Context(Context), Holder(Context.Identity.Instance, Context.Times),
      Selector({{Context.Identity.Instance, Context.Identity.Incarnation},
                Context.Identity.Region,
                Context.Identity.DataCenter}) {}

void LeaseManager::onOwnLeaseRow(TimePoint Now) {
  const InstanceDirectory::Instance *Self = this->Context.self();
  HS_FAIL_COND(!Self);

  const LeaseRow &Row = Self->Lease;
  hemlockspar::Incarnation Mine = this->Context.Identity.Incarnation;
  bool Ours = Row.State == LeaseState::Live && Row.Incarnation == Mine;

  if (Ours) {
    this->Holder.adopt(Row, Self->LeaseVersion, Now);
    this->WitnessChangeDueAt.reset();
    this->WitnessToReplace.reset();
    this->State = Membership::Joined;
    return;
  }

  this->Holder.reset();

  if (Row.State == LeaseState::Released && Row.Incarnation == Mine) {
    this->State = Membership::Released;
    this->Context.Actions.reportDecision(
        {PlacementEvent::Released, this->Context.Identity.Instance, 0, ""});
    return;
  }

  if (Row.Incarnation > Mine) {
    this->State = Membership::Superseded;
    this->Context.Actions.reportDecision({PlacementEvent::Superseded,
                                          this->Context.Identity.Instance, 0,
                                          "a later process has this name"});
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

void LeaseManager::setTakeoverDelay(std::uint64_t Milliseconds) {
  this->TakeoverDelayMs = Milliseconds;
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

  // The lease of an earlier process must first be shown to have expired.
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
      {PlacementEvent::Joined, Id, 0, "life " + std::to_string(Row.Epoch)});
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
  WitnessSet Good = this->usableWitnesses(Now);
  WitnessSet Wanted = this->chooseWitnesses(Good, Now);

  // With too few candidates the old set is kept as long as it carries the
  // lease; only then is the lease kept in the table instead.
  bool KeepsOld = Wanted.empty() && this->Holder.holds(Now);
  bool Improves = !sameWitnesses(Wanted, Current) && !KeepsOld;
  if (!Improves) {
    this->WitnessChangeDueAt.reset();
    return;
  }

  bool MajorityAtRisk = Good.size() <= majorityOf(Current.size());
  auto Spread = this->Context.Times.ReplacementJitterPerInstance *
                static_cast<int>(this->Context.Directory.liveCount());

  if (!this->WitnessChangeDueAt) {
    Duration Wait = MajorityAtRisk ? Duration::zero()
                                   : this->Context.randomDuration(Spread);
    this->WitnessChangeDueAt = Now + Wait;
  }

  // What is left of the previous version carries the lease until the current
  // one does; writing now would drop it.
  bool LeftoverCarries =
      this->Holder.holds(Now) && !this->Holder.currentVersionHolds(Now);

  if (Now >= *this->WitnessChangeDueAt && !LeftoverCarries &&
      this->Context.Table.healthy()) {
    this->writeLeaseRow(Now);
  }
}

void LeaseManager::avoidUnresponsiveWitnesses(TimePoint Now) {
  for (const InstanceId &Lost : this->Holder.unresponsiveWitnesses(Now)) {
    this->AvoidUntil[Lost] = Now + this->Context.Times.WitnessAvoidanceTime;
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
  bool AllGood = this->usableWitnesses(Now).size() == Current.size();
  if (!Scheduled || !AllGood) {
    return;
  }

  // Witnesses are kept while they answer. Without this, the instances that
  // joined first would witness for nearly all others: they were the only ones
  // to choose from. One at a time goes, so a majority stays.
  WitnessSet Best = this->chooseWitnesses({}, Now);
  for (const WitnessRef &Witness : Current) {
    WitnessSet Others = Current;
    std::erase(Others, Witness);

    WitnessSet Without = this->chooseWitnesses(Others, Now);
    if (countShared(Without, Best) > countShared(Current, Best)) {
      this->WitnessToReplace = Witness;
      return;
    }
  }
}

WitnessSet LeaseManager::usableWitnesses(TimePoint Now) const {
  WitnessSet Good;
  std::vector<InstanceId> Lost = this->Holder.unresponsiveWitnesses(Now);

  for (const WitnessRef &Witness : this->Context.self()->Lease.Witnesses) {
    const InstanceDirectory::Instance *Known =
        this->Context.Directory.find(Witness.Instance);
    bool Answers =
        std::find(Lost.begin(), Lost.end(), Witness.Instance) == Lost.end();
    bool SameProcess = Known && Known->live() &&
                       Known->Lease.Incarnation == Witness.Incarnation;
    if (Answers && SameProcess && this->WitnessToReplace != Witness) {
      Good.push_back(Witness);
    }
  }

  return Good;
}

WitnessSet LeaseManager::chooseWitnesses(const WitnessSet &Keep,
                                         TimePoint Now) const {
  std::vector<WitnessCandidate> Candidates;

  for (const auto &[Id, Known] : this->Context.Directory.instances()) {
    auto Avoided = this->AvoidUntil.find(Id);
    bool Avoid = Avoided != this->AvoidUntil.end() && Now < Avoided->second;
    if (Id == this->Context.Identity.Instance || !Known.live() || Avoid) {
      continue;
    }
    Candidates.push_back({{Id, Known.Lease.Incarnation},
                          Known.Lease.Region,
                          Known.Lease.DataCenter});
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

  // A witness that is no longer named would take the silence for a loss.
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

  // Peers told at once do not take the silence for a loss.
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
