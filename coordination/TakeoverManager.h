#pragma once

#include "coordination/LeaseManager.h"
#include "coordination/MemberContext.h"
#include "coordination/Witness.h"

#include <set>

namespace hemlockspar {

/// Takes over the slots of holders whose lease has expired: collects the votes
/// of their witnesses and commits the takeover. Also starts a new lease epoch
/// of this instance after a restart. Performs no I/O.
class TakeoverManager {
public:
  TakeoverManager(MemberContext &Context, Witness &LocalWitness,
                  LeaseManager &OwnLease);

  void tick(TimePoint Now);

  void onVoteReply(const InstanceId &Voter, const VoteRequest &Request,
                   const VoteReply &Reply, TimePoint Now);

  /// Whether this instance may keep the slots of its earlier process. Without a
  /// serving backend server they go to other instances.
  void setCanServe(bool CanServe) { this->CanServe = CanServe; }

  std::size_t campaignCount() const { return this->Campaigns.size(); }

private:
  /// An attempt to take over one holder at one version of its lease row.
  struct Campaign {
    RowVersion Version = 0;
    TimePoint StartAt;
    std::optional<TimePoint> LastRequestedAt;
    std::set<InstanceId> VersionVotes;
    std::set<InstanceId> PreviousVotes;

    /// When a sufficient number of votes was reached.
    std::optional<TimePoint> WonAt;
    bool CommitOutstanding = false;

    /// When the last commit ended; the table must be read after this time
    /// before the next attempt.
    std::optional<TimePoint> UnresolvedSince;
  };

  std::vector<InstanceId> suspects(TimePoint Now) const;
  void removeEndedCampaigns(const std::vector<InstanceId> &Suspects);
  void advanceCampaign(const InstanceId &Holder, Campaign &Attempt,
                       TimePoint Now);
  void requestVotes(const InstanceId &Holder, Campaign &Attempt, TimePoint Now);
  void recordVote(Campaign &Attempt, const InstanceDirectory::Instance &Holder,
                  const InstanceId &Voter, const VoteReply &Reply) const;
  bool hasEnoughVotes(const Campaign &Attempt,
                      const InstanceDirectory::Instance &Holder,
                      TimePoint Now) const;
  void takeOver(const InstanceId &Holder, Campaign &Attempt, TimePoint Now);
  std::vector<InstanceId> chooseReceivers(const InstanceId &Holder,
                                          TimePoint Now) const;
  Duration startDelayFor(const InstanceId &Holder) const;

  MemberContext &Context;
  Witness &LocalWitness;
  LeaseManager &OwnLease;
  bool CanServe = false;
  std::map<InstanceId, Campaign> Campaigns;
};

} // namespace hemlockspar
