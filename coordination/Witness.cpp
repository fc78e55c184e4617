#include "coordination/Witness.h"

#include <algorithm>

namespace hemlockspar {

Witness::Witness(InstanceId Self, hemlockspar::Incarnation Incarnation,
                 Timing Times, TimePoint StartedAt)
    : Self(std::move(Self)), Incarnation(Incarnation), Times(Times),
      StartedAt(StartedAt), ResumedAt(StartedAt) {}

void Witness::onLeaseRow(const InstanceId &Holder, const LeaseRow &Row,
                         RowVersion Version, TimePoint Now) {
  HolderRecord &Record = this->Holders[Holder];
  if (Version <= Record.Version) {
    return;
  }

  Record.Row = Row;
  Record.Version = Version;
  Record.NamesSelf =
      Row.State == LeaseState::Live && this->containsSelf(Row.Witnesses);
  Record.LastActivityAt = std::max(Record.LastActivityAt, Now);

  // Older versions are refused by mayRenew, so their votes need not be kept.
  RowVersion Oldest = Row.PreviousVersion ? Row.PreviousVersion : Version;
  Record.Versions.erase(Record.Versions.begin(),
                        Record.Versions.lower_bound(Oldest));
}

bool Witness::mayRenew(const HolderRecord &Holder,
                       const RenewalRequest &Request) const {
  bool NewerThanKnown = Request.Version > Holder.Version;
  if (NewerThanKnown) {
    return true;
  }

  bool SameEpoch =
      Holder.Row.State == LeaseState::Live && Holder.Row.Epoch == Request.Epoch;
  bool StillCounts = Request.Version == Holder.Version ||
                     Request.Version == Holder.Row.PreviousVersion;

  return SameEpoch && StillCounts;
}

bool Witness::renew(const RenewalRequest &Request, TimePoint Now) {
  HolderRecord &Holder = this->Holders[Request.Holder];
  if (!this->mayRenew(Holder, Request)) {
    return false;
  }

  Holder.LastActivityAt = std::max(Holder.LastActivityAt, Now);

  VersionRecord &Record = Holder.Versions[Request.Version];
  if (Record.VotedExpired) {
    return false;
  }

  Record.RenewedAt = Now;
  return true;
}

bool Witness::voteOn(HolderRecord &Holder, RowVersion Version, TimePoint Now) {
  VersionRecord &Record = Holder.Versions[Version];

  // If no renewal is recorded, an earlier process of this instance may have
  // acknowledged one until this process started.
  TimePoint LastRenewal = Record.RenewedAt.value_or(this->StartedAt);
  bool Expired = Now - LastRenewal > this->Times.witnessLeaseDuration();

  Record.VotedExpired = Record.VotedExpired || Expired;
  return Record.VotedExpired;
}

VoteReply Witness::vote(const VoteRequest &Request, TimePoint Now) {
  VoteReply Reply;
  Reply.Incarnation = this->Incarnation;

  HolderRecord &Holder = this->Holders[Request.Holder];
  Reply.VersionExpired = this->voteOn(Holder, Request.Version, Now);

  if (Request.PreviousVersion != 0) {
    Reply.PreviousExpired = this->voteOn(Holder, Request.PreviousVersion, Now);
  }

  return Reply;
}

std::vector<InstanceId> Witness::overdueHolders(TimePoint Now) const {
  std::vector<InstanceId> Overdue;

  for (const auto &[Holder, Record] : this->Holders) {
    TimePoint LastActivityAt = std::max(Record.LastActivityAt, this->ResumedAt);
    bool PastLease = Now - LastActivityAt > this->Times.witnessLeaseDuration();
    if (Record.NamesSelf && PastLease) {
      Overdue.push_back(Holder);
    }
  }

  return Overdue;
}

std::size_t Witness::witnessedCount() const {
  return std::count_if(
      this->Holders.begin(), this->Holders.end(),
      [](const auto &Entry) { return Entry.second.NamesSelf; });
}

bool Witness::containsSelf(const WitnessSet &Witnesses) const {
  return std::any_of(Witnesses.begin(), Witnesses.end(),
                     [this](const WitnessRef &Witness) {
                       return Witness.Instance == this->Self;
                     });
}

} // namespace hemlockspar
