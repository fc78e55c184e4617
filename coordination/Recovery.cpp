#include "coordination/Recovery.h"

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

Recovery::Recovery(MemberContext &Context, Witness &Votes, LeaseKeeper &Keeper)
    : Context(Context), Votes(Votes), Keeper(Keeper) {}

void Recovery::tick(TimePoint Now) {
  std::vector<InstanceId> Suspects = this->suspects(Now);
  this->dropEnded(Suspects);

  for (const InstanceId &Holder : Suspects) {
    if (this->Campaigns.contains(Holder)) {
      continue;
    }

    Campaign Attempt;
    Attempt.Version = this->Context.Known.find(Holder)->LeaseVersion;
    Attempt.StartAt = Now + this->staggerFor(Holder);
    this->Campaigns[Holder] = Attempt;
    this->Context.Actions.decided(
        {PlacementEvent::CampaignStarted, Holder, 0, "renewals ceased"});
  }

  for (auto &[Holder, Attempt] : this->Campaigns) {
    this->advance(Holder, Attempt, Now);
  }
}

std::vector<InstanceId> Recovery::suspects(TimePoint Now) const {
  std::vector<InstanceId> Suspects = this->Votes.silentHolders(Now);

  for (const auto &[Id, Known] : this->Context.Known.instances()) {
    if (Known.Lease.State != LeaseState::Live || Known.LeaseVersion == 0) {
      continue;
    }

    bool SilentInTable =
        Known.Lease.Witnesses.empty() &&
        Now - Known.LeaseSeenAt > this->Context.Times.leaseAtWitness();
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

void Recovery::dropEnded(const std::vector<InstanceId> &Suspects) {
  std::erase_if(this->Campaigns, [&](const auto &Entry) {
    const auto &[Holder, Attempt] = Entry;
    const Directory::Instance *Known = this->Context.Known.find(Holder);
    bool Current = Known && Known->Lease.State == LeaseState::Live &&
                   Known->LeaseVersion == Attempt.Version;

    // Once the votes suffice the holder cannot renew this version any more,
    // so the takeover is carried through even when it shows itself again.
    bool Silent = Attempt.WonAt || std::find(Suspects.begin(), Suspects.end(),
                                             Holder) != Suspects.end();
    return !(Current && Silent) && !Attempt.CommitOutstanding;
  });
}

void Recovery::advance(const InstanceId &Holder, Campaign &Attempt,
                       TimePoint Now) {
  if (Now < Attempt.StartAt || Attempt.CommitOutstanding) {
    return;
  }

  const Directory::Instance &Known = *this->Context.Known.find(Holder);

  if (!this->enoughVotes(Attempt, Known, Now)) {
    this->askForVotes(Holder, Attempt, Now);
  }
  if (!this->enoughVotes(Attempt, Known, Now)) {
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

void Recovery::askForVotes(const InstanceId &Holder, Campaign &Attempt,
                           TimePoint Now) {
  bool TooEarly = Attempt.LastAskedAt &&
                  Now - *Attempt.LastAskedAt < this->Context.Times.VoteInterval;
  if (TooEarly) {
    return;
  }

  Attempt.LastAskedAt = Now;

  const Directory::Instance &Known = *this->Context.Known.find(Holder);
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
      this->countVote(Attempt, Known, Voter, this->Votes.vote(Request, Now));
    } else {
      this->Context.Actions.sendVoteRequest(Voter, Request);
    }
  }
}

void Recovery::onVoteReply(const InstanceId &Voter, const VoteRequest &Request,
                           const VoteReply &Reply, TimePoint Now) {
  auto Place = this->Campaigns.find(Request.Holder);
  if (Place == this->Campaigns.end() ||
      Place->second.Version != Request.Version) {
    return;
  }

  const Directory::Instance *Known = this->Context.Known.find(Request.Holder);
  if (!Known || Known->LeaseVersion != Request.Version) {
    return;
  }

  this->countVote(Place->second, *Known, Voter, Reply);
  this->advance(Request.Holder, Place->second, Now);
}

void Recovery::countVote(Campaign &Attempt, const Directory::Instance &Holder,
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

bool Recovery::enoughVotes(const Campaign &Attempt,
                           const Directory::Instance &Holder,
                           TimePoint Now) const {
  const LeaseRow &Row = Holder.Lease;
  bool HasPrevious = Row.PreviousVersion != 0;

  // A lease kept in the table is renewed by a new version of its row.
  bool NeedsQuietRow =
      Row.Witnesses.empty() || (HasPrevious && Row.PreviousWitnesses.empty());
  bool QuietRow =
      Now - Holder.LeaseSeenAt > this->Context.Times.leaseAtWitness();

  bool VersionVoted = Row.Witnesses.empty() ||
                      votesWithin(Row.Witnesses, Attempt.VersionVotes) >=
                          majorityOf(Row.Witnesses.size());
  bool PreviousVoted =
      !HasPrevious || Row.PreviousWitnesses.empty() ||
      votesWithin(Row.PreviousWitnesses, Attempt.PreviousVotes) >=
          majorityOf(Row.PreviousWitnesses.size());

  return VersionVoted && PreviousVoted && (QuietRow || !NeedsQuietRow);
}

void Recovery::takeOver(const InstanceId &Holder, Campaign &Attempt,
                        TimePoint Now) {
  Transfers Build(this->Context.Known, this->Context.Cache);
  bool EarlierSelf = Holder == this->Context.Identity.Instance;
  std::size_t SlotCount =
      countSlots(this->Context.Known.find(Holder)->Holding.Slots);

  TableTransaction Transaction =
      EarlierSelf && this->CanServe
          ? Build.takeoverBySelf(Holder, this->Keeper.freshRow(Now))
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
          this->Context.Actions.decided({PlacementEvent::TakeoverFailed, Holder,
                                         SlotCount, nameOf(Result.Outcome)});
          return;
        }

        this->Context.Actions.pushRows(
            writtenRows(Transaction, Result.Version));
        this->Context.Actions.decided(
            {PlacementEvent::TakeoverWon, Holder, SlotCount, ""});
      });
}

std::vector<InstanceId> Recovery::chooseReceivers(const InstanceId &Holder,
                                                  TimePoint Now) const {
  const Directory::Instance &Lost = *this->Context.Known.find(Holder);
  std::vector<InstanceId> Receivers =
      this->Context.Known.receivers(Lost.Holding.Service, Holder);

  std::vector<InstanceId> Silent = this->Votes.silentHolders(Now);
  std::erase_if(Receivers, [&](const InstanceId &Id) {
    return std::find(Silent.begin(), Silent.end(), Id) != Silent.end();
  });

  // Takeovers that run side by side should not all want the same rows.
  if (Receivers.size() > 2 * Transfers::MaxReceivers) {
    std::shuffle(Receivers.begin(), Receivers.end(), this->Context.Random);
  }
  if (Receivers.size() > Transfers::MaxReceivers) {
    Receivers.resize(Transfers::MaxReceivers);
  }

  return Receivers;
}

Duration Recovery::staggerFor(const InstanceId &Holder) const {
  if (Holder == this->Context.Identity.Instance) {
    return Duration::zero();
  }

  const LeaseRow &Row = this->Context.Known.find(Holder)->Lease;
  std::size_t Rank = 0;

  while (Rank < Row.Witnesses.size() &&
         Row.Witnesses[Rank].Instance != this->Context.Identity.Instance) {
    ++Rank;
  }

  if (Row.Witnesses.empty()) {
    return this->Context.randomSpan(this->Context.Times.CampaignStagger * 4);
  }

  return this->Context.Times.CampaignStagger * static_cast<int>(Rank);
}

} // namespace hemlockspar
