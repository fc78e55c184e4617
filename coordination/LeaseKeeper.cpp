#include "coordination/LeaseKeeper.h"

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

const char *nameOf(Membership State) {
  return enumName(MembershipNames, State);
}

LeaseKeeper::LeaseKeeper(MemberContext &Context)
    : Context(Context), Holder(Context.Identity.Instance, Context.Times),
      Selector({{Context.Identity.Instance, Context.Identity.Incarnation},
                Context.Identity.Region,
                Context.Identity.DataCenter}) {}

void LeaseKeeper::onOwnLeaseRow(TimePoint Now) {
  const Directory::Instance *Self = this->Context.self();
  HS_FAIL_COND(!Self);

  const LeaseRow &Row = Self->Lease;
  hemlockspar::Incarnation Mine = this->Context.Identity.Incarnation;
  bool Ours = Row.State == LeaseState::Live && Row.Incarnation == Mine;

  if (Ours) {
    this->Holder.adopt(Row, Self->LeaseVersion, Now);
    this->ChangeDueAt.reset();
    this->Misplaced.reset();
    this->State = Membership::Inside;
    return;
  }

  this->Holder.forget();

  if (Row.State == LeaseState::Released && Row.Incarnation == Mine) {
    this->State = Membership::Released;
    this->Context.Actions.decided(
        {PlacementEvent::Released, this->Context.Identity.Instance, 0, ""});
    return;
  }

  if (Row.Incarnation > Mine) {
    this->State = Membership::Superseded;
    this->Context.Actions.decided({PlacementEvent::Superseded,
                                   this->Context.Identity.Instance, 0,
                                   "a later process has this name"});
    return;
  }

  if (this->State == Membership::Inside) {
    this->State = Membership::Outside;
    this->Context.Actions.decided({PlacementEvent::LeaseForgotten,
                                   this->Context.Identity.Instance, 0,
                                   "the lease was taken over"});
  }
}

void LeaseKeeper::onRenewalReply(const InstanceId &Witness,
                                 const RenewalRequest &Request,
                                 const RenewalReply &Reply, TimePoint SentAt) {
  this->Holder.onReply(Witness, Request, Reply, SentAt);
}

void LeaseKeeper::tick(TimePoint Now) {
  bool MayWrite = !this->writePending(Now) && Now >= this->RetryAt;

  if (this->State == Membership::Outside && MayWrite) {
    this->join(Now);
  }

  if (this->State != Membership::Inside) {
    return;
  }

  RowVersion Complete = this->Context.Cache.completeVersion();
  for (const Renewal &Due : this->Holder.renewalsDue(Now, Complete)) {
    this->Context.Actions.sendRenewal(Due.Witness, Due.Request);
  }

  if (MayWrite) {
    this->maintain(Now);
  }
}

void LeaseKeeper::setTakeoverDelay(std::uint64_t Milliseconds) {
  this->TakeoverDelayMs = Milliseconds;
}

LeaseRow LeaseKeeper::freshRow(TimePoint Now) {
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

void LeaseKeeper::join(TimePoint Now) {
  if (!this->Context.Table.healthy()) {
    return;
  }

  const InstanceId &Id = this->Context.Identity.Instance;
  const Directory::Instance *Self = this->Context.self();
  bool HasRow = Self && Self->LeaseVersion != 0;

  // The lease of an earlier process must first be shown to have expired.
  if (HasRow && Self->Lease.State == LeaseState::Live) {
    return;
  }

  LeaseRow Row = this->freshRow(Now);
  Row.Life = HasRow ? Self->Lease.Life + 1 : 1;

  HoldingRow Holding;
  Holding.Life = Row.Life;

  TableTransaction Transaction;
  writeAt(Transaction, leaseKey(Id), HasRow ? Self->LeaseVersion : 0,
          Row.toText());
  writeAt(Transaction, holdingKey(Id), HasRow ? Self->HoldingVersion : 0,
          Holding.toText());

  this->Context.Actions.decided(
      {PlacementEvent::Joined, Id, 0, "life " + std::to_string(Row.Life)});
  this->commitRow(Transaction, Now);
}

void LeaseKeeper::maintain(TimePoint Now) {
  if (this->Holder.keptInTable()) {
    this->writeRow(Now);
    this->RetryAt = Now + this->Context.Times.RenewInterval;
    return;
  }

  if (Now >= this->NextWitnessCheckAt) {
    this->NextWitnessCheckAt = Now + this->Context.Times.WitnessCheckInterval;
    this->checkWitnesses(Now);
  }
}

void LeaseKeeper::checkWitnesses(TimePoint Now) {
  this->avoidLost(Now);
  this->findMisplaced(Now);

  const WitnessSet &Current = this->Context.self()->Lease.Witnesses;
  WitnessSet Good = this->goodWitnesses(Now);
  WitnessSet Wanted = this->chooseWitnesses(Good, Now);

  // With too few candidates the old set is kept as long as it carries the
  // lease; only then is the lease kept in the table instead.
  bool KeepsOld = Wanted.empty() && this->Holder.holds(Now);
  bool Improves = !sameWitnesses(Wanted, Current) && !KeepsOld;
  if (!Improves) {
    this->ChangeDueAt.reset();
    return;
  }

  bool MajorityAtRisk = Good.size() <= majorityOf(Current.size());
  auto Spread = this->Context.Times.ReplacementSpread *
                static_cast<int>(this->Context.Known.liveCount());

  if (!this->ChangeDueAt) {
    Duration Wait =
        MajorityAtRisk ? Duration::zero() : this->Context.randomSpan(Spread);
    this->ChangeDueAt = Now + Wait;
  }

  // What is left of the previous version carries the lease until the current
  // one does; writing now would drop it.
  bool LeftoverCarries =
      this->Holder.holds(Now) && !this->Holder.currentHolds(Now);

  if (Now >= *this->ChangeDueAt && !LeftoverCarries &&
      this->Context.Table.healthy()) {
    this->writeRow(Now);
  }
}

void LeaseKeeper::avoidLost(TimePoint Now) {
  for (const InstanceId &Lost : this->Holder.lostWitnesses(Now)) {
    this->AvoidUntil[Lost] = Now + this->Context.Times.WitnessAvoidFor;
  }
}

void LeaseKeeper::findMisplaced(TimePoint Now) {
  bool Scheduled = this->NextSpreadCheckAt.has_value();
  if (Scheduled && Now < *this->NextSpreadCheckAt) {
    return;
  }

  Duration Interval = this->Context.Times.WitnessSpreadInterval;
  this->NextSpreadCheckAt =
      Now + Interval / 2 + this->Context.randomSpan(Interval);
  this->Misplaced.reset();

  const WitnessSet &Current = this->Context.self()->Lease.Witnesses;
  bool AllGood = this->goodWitnesses(Now).size() == Current.size();
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
      this->Misplaced = Witness;
      return;
    }
  }
}

WitnessSet LeaseKeeper::goodWitnesses(TimePoint Now) const {
  WitnessSet Good;
  std::vector<InstanceId> Lost = this->Holder.lostWitnesses(Now);

  for (const WitnessRef &Witness : this->Context.self()->Lease.Witnesses) {
    const Directory::Instance *Known =
        this->Context.Known.find(Witness.Instance);
    bool Answers =
        std::find(Lost.begin(), Lost.end(), Witness.Instance) == Lost.end();
    bool SameProcess = Known && Known->live() &&
                       Known->Lease.Incarnation == Witness.Incarnation;
    if (Answers && SameProcess && this->Misplaced != Witness) {
      Good.push_back(Witness);
    }
  }

  return Good;
}

WitnessSet LeaseKeeper::chooseWitnesses(const WitnessSet &Keep,
                                        TimePoint Now) const {
  std::vector<WitnessCandidate> Candidates;

  for (const auto &[Id, Known] : this->Context.Known.instances()) {
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

void LeaseKeeper::writeRow(TimePoint Now) {
  const Directory::Instance *Self = this->Context.self();
  HS_FAIL_COND(!Self || Self->Lease.State != LeaseState::Live);

  LeaseRow Row = this->freshRow(Now);
  Row.Life = Self->Lease.Life;
  Row.Witnesses = this->chooseWitnesses(this->goodWitnesses(Now), Now);
  Row.PreviousVersion = Self->LeaseVersion;
  Row.PreviousWitnesses = Self->Lease.Witnesses;

  bool Changed = Row.Witnesses != Self->Lease.Witnesses;
  if (Changed) {
    this->Context.Actions.decided(
        {PlacementEvent::WitnessesChanged, this->Context.Identity.Instance, 0,
         std::to_string(Row.Witnesses.size()) + " witnesses"});
  }

  TableTransaction Transaction;
  writeAt(Transaction, leaseKey(this->Context.Identity.Instance),
          Self->LeaseVersion, Row.toText());

  // A witness that is no longer named would take the silence for a loss.
  this->Holder.rowWriteSent();
  this->commitRow(Transaction, Now, Changed);
}

void LeaseKeeper::release(TimePoint Now) {
  const Directory::Instance *Self = this->Context.self();
  if (this->State != Membership::Inside || this->writePending(Now) ||
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
  writeAt(Transaction, leaseKey(Id), Self->LeaseVersion, Row.toText());
  Transaction.Conditions.push_back({holdingKey(Id), Self->HoldingVersion});

  // Peers told at once do not take the silence for a loss.
  this->Holder.rowWriteSent();
  this->commitRow(Transaction, Now, true);
}

void LeaseKeeper::commitRow(const TableTransaction &Transaction, TimePoint Now,
                            bool Push) {
  this->WriteOutstanding = true;
  this->Context.Table.commit(Transaction, [this, Transaction, Now,
                                           Push](const CommitResult &Result,
                                                 TimePoint Later) {
    this->onRowCommitted(Result, Now, Later);
    if (Push && Result.Outcome == CommitOutcome::Committed) {
      this->Context.Actions.pushRows(writtenRows(Transaction, Result.Version));
    }
  });
}

void LeaseKeeper::onRowCommitted(const CommitResult &Result, TimePoint SentAt,
                                 TimePoint Now) {
  this->WriteOutstanding = false;

  switch (Result.Outcome) {
  case CommitOutcome::Committed:
    this->Holder.renewedInTable(Result.Version, SentAt);
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

bool LeaseKeeper::writePending(TimePoint Now) {
  bool Resolved = this->UnresolvedSince &&
                  this->Context.Table.hasReadSince(*this->UnresolvedSince);
  if (Resolved) {
    this->UnresolvedSince.reset();
    this->RetryAt = std::max(this->RetryAt, Now);
  }

  return this->WriteOutstanding || this->UnresolvedSince;
}

} // namespace hemlockspar
