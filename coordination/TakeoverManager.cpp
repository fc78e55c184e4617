#include "coordination/TakeoverManager.h"

#include "core/ErrorMacros.h"

#include <algorithm>

namespace hemlockspar {

namespace {

/// How many of \p Voters are in \p Set.
std::size_t countVotes(const WitnessSet &Set,
                       const std::set<InstanceId> &Voters) {
  return std::count_if(Set.begin(), Set.end(), [&](const WitnessRef &Witness) {
    return Voters.contains(Witness.Instance);
  });
}

/// Adds \p Voter when \p Set names it. A vote by an earlier process than the
/// named one proves nothing about the renewals that the named one acknowledged.
void addVoteIfNamed(const WitnessSet &Set, const InstanceId &Voter,
                    Incarnation VoterIncarnation, std::set<InstanceId> &Votes) {
  for (const WitnessRef &Witness : Set) {
    if (Witness.Instance == Voter && VoterIncarnation >= Witness.Incarnation) {
      Votes.insert(Voter);
    }
  }
}

} // namespace

TakeoverManager::TakeoverManager(MemberContext &Context, Witness &LocalWitness,
                                 LeaseManager &OwnLease)
    : Context(Context), LocalWitness(LocalWitness), OwnLease(OwnLease) {}

void TakeoverManager::tick(TimePoint Now) {
  std::vector<InstanceId> Suspects = this->suspects(Now);
  this->removeEndedCampaigns(Suspects);

  for (const InstanceId &Holder : Suspects) {
    if (this->Campaigns.contains(Holder)) {
      continue;
    }

    Campaign Attempt;
    Attempt.Version = this->Context.Directory.find(Holder)->LeaseVersion;
    Attempt.StartAt = Now + this->startDelayFor(Holder);
    this->Campaigns[Holder] = Attempt;
    this->Context.Actions.reportDecision(
        {PlacementEvent::CampaignStarted, Holder, 0,
         "no renewals within the lease duration"});
  }

  for (auto &[Holder, Attempt] : this->Campaigns) {
    this->advanceCampaign(Holder, Attempt, Now);
  }
}

std::vector<InstanceId> TakeoverManager::suspects(TimePoint Now) const {
  std::vector<InstanceId> Suspects = this->LocalWitness.overdueHolders(Now);

  for (const auto &[Id, Instance] : this->Context.Directory.instances()) {
    if (Instance.Lease.State != LeaseState::Live ||
        Instance.LeaseVersion == 0) {
      continue;
    }

    bool OverdueInTable = Instance.Lease.Witnesses.empty() &&
                          Now - Instance.LeaseObservedAt >
                              this->Context.Times.witnessLeaseDuration();
    bool IsEarlierSelf =
        Id == this->Context.Identity.Instance &&
        Instance.Lease.Incarnation < this->Context.Identity.Incarnation;
    if (OverdueInTable || IsEarlierSelf) {
      Suspects.push_back(Id);
    }
  }

  // A live process does not campaign against its own lease.
  std::erase_if(Suspects, [this](const InstanceId &Id) {
    return Id == this->Context.Identity.Instance &&
           this->Context.self()->Lease.Incarnation >=
               this->Context.Identity.Incarnation;
  });

  return Suspects;
}

void TakeoverManager::removeEndedCampaigns(
    const std::vector<InstanceId> &Suspects) {
  std::erase_if(this->Campaigns, [&](const auto &Entry) {
    const auto &[Holder, Attempt] = Entry;
    const InstanceDirectory::Instance *Instance =
        this->Context.Directory.find(Holder);
    bool Current = Instance && Instance->Lease.State == LeaseState::Live &&
                   Instance->LeaseVersion == Attempt.Version;

    // Once there are enough votes the holder can no longer renew this version,
    // so the takeover is completed even if the holder reappears.
    bool Overdue = Attempt.WonAt || std::find(Suspects.begin(), Suspects.end(),
                                              Holder) != Suspects.end();
    return !(Current && Overdue) && !Attempt.CommitOutstanding;
  });
}

void TakeoverManager::advanceCampaign(const InstanceId &Holder,
                                      Campaign &Attempt, TimePoint Now) {
  if (Now < Attempt.StartAt || Attempt.CommitOutstanding) {
    return;
  }

  const InstanceDirectory::Instance &Instance =
      *this->Context.Directory.find(Holder);

  if (!this->hasEnoughVotes(Attempt, Instance, Now)) {
    this->requestVotes(Holder, Attempt, Now);
  }
  if (!this->hasEnoughVotes(Attempt, Instance, Now)) {
    return;
  }

  if (!Attempt.WonAt) {
    Attempt.WonAt = Now;
  }

  auto Delay = std::chrono::milliseconds(Instance.Lease.TakeoverDelayMs);
  bool Resolved = !Attempt.UnresolvedSince ||
                  this->Context.Table.hasReadSince(*Attempt.UnresolvedSince);

  if (Now >= *Attempt.WonAt + Delay && Resolved) {
    this->takeOver(Holder, Attempt, Now);
  }
}

void TakeoverManager::requestVotes(const InstanceId &Holder, Campaign &Attempt,
                                   TimePoint Now) {
  bool TooEarly =
      Attempt.LastRequestedAt &&
      Now - *Attempt.LastRequestedAt < this->Context.Times.VoteInterval;
  if (TooEarly) {
    return;
  }

  Attempt.LastRequestedAt = Now;

  const InstanceDirectory::Instance &Instance =
      *this->Context.Directory.find(Holder);
  VoteRequest Request;
  Request.Holder = Holder;
  Request.Version = Instance.LeaseVersion;
  Request.PreviousVersion = Instance.Lease.PreviousVersion;

  std::set<InstanceId> Voters;
  for (const WitnessRef &Witness : Instance.Lease.Witnesses) {
    Voters.insert(Witness.Instance);
  }
  for (const WitnessRef &Witness : Instance.Lease.PreviousWitnesses) {
    Voters.insert(Witness.Instance);
  }

  for (const InstanceId &Voter : Voters) {
    if (Voter == this->Context.Identity.Instance) {
      this->recordVote(Attempt, Instance, Voter,
                       this->LocalWitness.vote(Request, Now));
    } else {
      this->Context.Actions.sendVoteRequest(Voter, Request);
    }
  }
}

void TakeoverManager::onVoteReply(const InstanceId &Voter,
                                  const VoteRequest &Request,
                                  const VoteReply &Reply, TimePoint Now) {
  auto It = this->Campaigns.find(Request.Holder);
  if (It == this->Campaigns.end() || It->second.Version != Request.Version) {
    return;
  }

  const InstanceDirectory::Instance *Instance =
      this->Context.Directory.find(Request.Holder);
  if (!Instance || Instance->LeaseVersion != Request.Version) {
    return;
  }

  this->recordVote(It->second, *Instance, Voter, Reply);
  this->advanceCampaign(Request.Holder, It->second, Now);
}

void TakeoverManager::recordVote(Campaign &Attempt,
                                 const InstanceDirectory::Instance &Holder,
                                 const InstanceId &Voter,
                                 const VoteReply &Reply) const {
  if (Reply.VersionExpired) {
    addVoteIfNamed(Holder.Lease.Witnesses, Voter, Reply.Incarnation,
                   Attempt.VersionVotes);
  }
  if (Reply.PreviousExpired) {
    addVoteIfNamed(Holder.Lease.PreviousWitnesses, Voter, Reply.Incarnation,
                   Attempt.PreviousVotes);
  }
}

bool TakeoverManager::hasEnoughVotes(const Campaign &Attempt,
                                     const InstanceDirectory::Instance &Holder,
                                     TimePoint Now) const {
  const LeaseRow &Row = Holder.Lease;
  bool HasPrevious = Row.PreviousVersion != 0;

  // A lease without witnesses is renewed by writing a new version of its row.
  bool NeedsUnchangedRow =
      Row.Witnesses.empty() || (HasPrevious && Row.PreviousWitnesses.empty());
  bool RowUnchanged =
      Now - Holder.LeaseObservedAt > this->Context.Times.witnessLeaseDuration();

  bool VersionVoted = Row.Witnesses.empty() ||
                      countVotes(Row.Witnesses, Attempt.VersionVotes) >=
                          majorityOf(Row.Witnesses.size());
  bool PreviousVoted =
      !HasPrevious || Row.PreviousWitnesses.empty() ||
      countVotes(Row.PreviousWitnesses, Attempt.PreviousVotes) >=
          majorityOf(Row.PreviousWitnesses.size());

  return VersionVoted && PreviousVoted && (RowUnchanged || !NeedsUnchangedRow);
}

void TakeoverManager::takeOver(const InstanceId &Holder, Campaign &Attempt,
                               TimePoint Now) {
  TransferBuilder Builder(this->Context.Directory, this->Context.Cache);
  bool IsEarlierSelf = Holder == this->Context.Identity.Instance;
  std::size_t SlotCount =
      countSlots(this->Context.Directory.find(Holder)->Holding.Slots);

  TableTransaction Transaction =
      IsEarlierSelf && this->CanServe
          ? Builder.takeoverBySelf(Holder, this->OwnLease.newLeaseRow(Now))
          : Builder.takeover(Holder, this->chooseReceivers(Holder, Now));
  HS_FAIL_COND(Transaction.Writes.empty());

  Attempt.CommitOutstanding = true;

  this->Context.Table.commit(
      Transaction, [this, Holder, SlotCount,
                    Transaction](const CommitResult &Result, TimePoint Later) {
        Campaign &Ended = this->Campaigns[Holder];
        Ended.CommitOutstanding = false;
        Ended.UnresolvedSince = Later;

        if (Result.Outcome != CommitOutcome::Committed) {
          this->Context.Table.requestRead();
          this->Context.Actions.reportDecision({PlacementEvent::TakeoverFailed,
                                                Holder, SlotCount,
                                                nameOf(Result.Outcome)});
          return;
        }

        this->Context.Actions.pushRows(
            writtenRows(Transaction, Result.Version));
        this->Context.Actions.reportDecision(
            {PlacementEvent::TakeoverWon, Holder, SlotCount, ""});
      });
}

std::vector<InstanceId>
TakeoverManager::chooseReceivers(const InstanceId &Holder,
                                 TimePoint Now) const {
  const InstanceDirectory::Instance &Lost =
      *this->Context.Directory.find(Holder);
  std::vector<InstanceId> Receivers =
      this->Context.Directory.receivers(Lost.Holding.Service, Holder);

  std::vector<InstanceId> Overdue = this->LocalWitness.overdueHolders(Now);
  std::erase_if(Receivers, [&](const InstanceId &Id) {
    return std::find(Overdue.begin(), Overdue.end(), Id) != Overdue.end();
  });

  // Random receivers keep concurrent takeovers from conflicting on the same
  // rows.
  if (Receivers.size() > 2 * TransferBuilder::MaxReceivers) {
    std::shuffle(Receivers.begin(), Receivers.end(), this->Context.Random);
  }
  if (Receivers.size() > TransferBuilder::MaxReceivers) {
    Receivers.resize(TransferBuilder::MaxReceivers);
  }

  return Receivers;
}

Duration TakeoverManager::startDelayFor(const InstanceId &Holder) const {
  if (Holder == this->Context.Identity.Instance) {
    return Duration::zero();
  }

  const LeaseRow &Row = this->Context.Directory.find(Holder)->Lease;
  std::size_t Rank = 0;

  while (Rank < Row.Witnesses.size() &&
         Row.Witnesses[Rank].Instance != this->Context.Identity.Instance) {
    ++Rank;
  }

  if (Row.Witnesses.empty()) {
    return this->Context.randomDuration(this->Context.Times.CampaignStagger *
                                        4);
  }

  return this->Context.Times.CampaignStagger * static_cast<int>(Rank);
}

} // namespace hemlockspar
