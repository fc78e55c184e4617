#include "coordination/TakeoverManager.h"

#include "core/ErrorMacros.h"

#include <algorithm>

namespace hemlockspar {

namespace {

/// How many of \p Voters are in \p Set.
std::size_t votesWithin(const WitnessSet &Set,
                        const std::set<InstanceId> &Voters) {
  return std::count_if(Set.begin(), Set.end(), [&](const WitnessRef &Witness) {
    return Voters.contains(Witness.Instance);
  });
}

/// Adds \p Voter when \p Set names it. A vote of an earlier process than the
/// named one says nothing about what the named one acknowledged.
void countFor(const WitnessSet &Set, const InstanceId &Voter,
              Incarnation VoterIncarnation, std::set<InstanceId> &Votes) {
  for (const WitnessRef &Witness : Set) {
    if (Witness.Instance == Voter && VoterIncarnation >= Witness.Incarnation) {
      Votes.insert(Voter);
    }
  }
}

} // namespace

TakeoverManager::TakeoverManager(MemberContext &Context, Witness &Votes,
                                 LeaseManager &Keeper)
    : Context(Context), LocalWitness(Votes), OwnLease(Keeper) {}

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
        {PlacementEvent::CampaignStarted, Holder, 0, "renewals ceased"});
  }

  for (auto &[Holder, Attempt] : this->Campaigns) {
    this->advanceCampaign(Holder, Attempt, Now);
  }
}

std::vector<InstanceId> TakeoverManager::suspects(TimePoint Now) const {
  std::vector<InstanceId> Suspects = this->LocalWitness.overdueHolders(Now);

  for (const auto &[Id, Known] : this->Context.Directory.instances()) {
    if (Known.Lease.State != LeaseState::Live || Known.LeaseVersion == 0) {
      continue;
    }

    bool SilentInTable = Known.Lease.Witnesses.empty() &&
                         Now - Known.LeaseObservedAt >
                             this->Context.Times.witnessLeaseDuration();
    bool EarlierSelf =
        Id == this->Context.Identity.Instance &&
        Known.Lease.Incarnation < this->Context.Identity.Incarnation;
    if (SilentInTable || EarlierSelf) {
      Suspects.push_back(Id);
    }
  }

  // A process that is alive does not campaign against itself.
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
    const InstanceDirectory::Instance *Known =
        this->Context.Directory.find(Holder);
    bool Current = Known && Known->Lease.State == LeaseState::Live &&
                   Known->LeaseVersion == Attempt.Version;

    // Once the votes suffice the holder cannot renew this version any more,
    // so the takeover is carried through even when it shows itself again.
    bool Silent = Attempt.WonAt || std::find(Suspects.begin(), Suspects.end(),
                                             Holder) != Suspects.end();
    return !(Current && Silent) && !Attempt.CommitOutstanding;
  });
}

void TakeoverManager::advanceCampaign(const InstanceId &Holder,
                                      Campaign &Attempt, TimePoint Now) {
  if (Now < Attempt.StartAt || Attempt.CommitOutstanding) {
    return;
  }

  const InstanceDirectory::Instance &Known =
      *this->Context.Directory.find(Holder);

  if (!this->hasEnoughVotes(Attempt, Known, Now)) {
    this->requestVotes(Holder, Attempt, Now);
  }
  if (!this->hasEnoughVotes(Attempt, Known, Now)) {
    return;
  }

  if (!Attempt.WonAt) {
    Attempt.WonAt = Now;
  }

  auto Delay = std::chrono::milliseconds(Known.Lease.TakeoverDelayMs);
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

  const InstanceDirectory::Instance &Known =
      *this->Context.Directory.find(Holder);
  VoteRequest Request;
  Request.Holder = Holder;
  Request.Version = Known.LeaseVersion;
  Request.PreviousVersion = Known.Lease.PreviousVersion;

  std::set<InstanceId> Voters;
  for (const WitnessRef &Witness : Known.Lease.Witnesses) {
    Voters.insert(Witness.Instance);
  }
  for (const WitnessRef &Witness : Known.Lease.PreviousWitnesses) {
    Voters.insert(Witness.Instance);
  }

  for (const InstanceId &Voter : Voters) {
    if (Voter == this->Context.Identity.Instance) {
      this->recordVote(Attempt, Known, Voter,
                       this->LocalWitness.vote(Request, Now));
    } else {
      this->Context.Actions.sendVoteRequest(Voter, Request);
    }
  }
}

void TakeoverManager::onVoteReply(const InstanceId &Voter,
                                  const VoteRequest &Request,
                                  const VoteReply &Reply, TimePoint Now) {
  auto Place = this->Campaigns.find(Request.Holder);
  if (Place == this->Campaigns.end() ||
      Place->second.Version != Request.Version) {
    return;
  }

  const InstanceDirectory::Instance *Known =
      this->Context.Directory.find(Request.Holder);
  if (!Known || Known->LeaseVersion != Request.Version) {
    return;
  }

  this->recordVote(Place->second, *Known, Voter, Reply);
  this->advanceCampaign(Request.Holder, Place->second, Now);
}

void TakeoverManager::recordVote(Campaign &Attempt,
                                 const InstanceDirectory::Instance &Holder,
                                 const InstanceId &Voter,
                                 const VoteReply &Reply) const {
  if (Reply.VersionExpired) {
    countFor(Holder.Lease.Witnesses, Voter, Reply.Incarnation,
             Attempt.VersionVotes);
  }
  if (Reply.PreviousExpired) {
    countFor(Holder.Lease.PreviousWitnesses, Voter, Reply.Incarnation,
             Attempt.PreviousVotes);
  }
}

bool TakeoverManager::hasEnoughVotes(const Campaign &Attempt,
                                     const InstanceDirectory::Instance &Holder,
                                     TimePoint Now) const {
  const LeaseRow &Row = Holder.Lease;
  bool HasPrevious = Row.PreviousVersion != 0;

  // A lease kept in the table is renewed by a new version of its row.
  bool NeedsQuietRow =
      Row.Witnesses.empty() || (HasPrevious && Row.PreviousWitnesses.empty());
  bool QuietRow =
      Now - Holder.LeaseObservedAt > this->Context.Times.witnessLeaseDuration();

  bool VersionVoted = Row.Witnesses.empty() ||
                      votesWithin(Row.Witnesses, Attempt.VersionVotes) >=
                          majorityOf(Row.Witnesses.size());
  bool PreviousVoted =
      !HasPrevious || Row.PreviousWitnesses.empty() ||
      votesWithin(Row.PreviousWitnesses, Attempt.PreviousVotes) >=
          majorityOf(Row.PreviousWitnesses.size());

  return VersionVoted && PreviousVoted && (QuietRow || !NeedsQuietRow);
}

void TakeoverManager::takeOver(const InstanceId &Holder, Campaign &Attempt,
                               TimePoint Now) {
  TransferBuilder Build(this->Context.Directory, this->Context.Cache);
  bool EarlierSelf = Holder == this->Context.Identity.Instance;
  std::size_t SlotCount =
      countSlots(this->Context.Directory.find(Holder)->Holding.Slots);

  TableTransaction Transaction =
      EarlierSelf && this->CanServe
          ? Build.takeoverBySelf(Holder, this->OwnLease.newLeaseRow(Now))
          : Build.takeover(Holder, this->chooseReceivers(Holder, Now));
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

  std::vector<InstanceId> Silent = this->LocalWitness.overdueHolders(Now);
  std::erase_if(Receivers, [&](const InstanceId &Id) {
    return std::find(Silent.begin(), Silent.end(), Id) != Silent.end();
  });

  // Takeovers that run side by side should not all want the same rows.
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
