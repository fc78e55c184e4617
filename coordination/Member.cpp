#include "coordination/Member.h"

#include <algorithm>

namespace hemlockspar {

namespace {

/// Number of peers asked for their load in one round (power of two choices):
/// the less loaded of two random peers is nearly as good as the least loaded of
/// all.
constexpr std::size_t SampledPeers = 2;

} // namespace

Member::Member(MemberIdentity Identity, Timing Times, MemberActions &Actions,
               std::uint64_t Seed, TimePoint StartedAt)
    : Context(std::move(Identity), Times, Actions, Seed),
      LocalWitness(Context.Identity.Instance, Context.Identity.Incarnation,
                   Times, StartedAt),
      OwnLease(Context), Takeovers(Context, LocalWitness, OwnLease),
      Migrator(Context, OwnLease), Balancer(PlacementPreference::FewMoves),
      LastTick(StartedAt), NextSampleAt(StartedAt) {
  this->Context.Cache.setListener(
      [this](const TableRow &Row) { this->onRow(Row, this->LastTick); });
}

void Member::onRow(const TableRow &Row, TimePoint Now) {
  ++this->RowChangeCount;
  this->Context.Directory.onRow(Row, Now);

  auto Id = stripPrefix(Row.Key, LeasePrefix);
  if (!Id) {
    return;
  }

  const InstanceDirectory::Instance *Instance =
      this->Context.Directory.find(*Id);
  if (!Instance || Instance->LeaseVersion != Row.Version) {
    return;
  }

  if (*Id == this->Context.Identity.Instance) {
    this->OwnLease.onOwnLeaseRow(Now);
  } else {
    this->LocalWitness.onLeaseRow(*Id, Instance->Lease, Row.Version, Now);
  }
}

void Member::tick(TimePoint Now) {
  if (Now - this->LastTick > this->Context.Times.RenewInterval) {
    this->LocalWitness.onResume(Now);
  }

  this->LastTick = Now;
  this->Context.Table.tick(Now,
                           this->Context.Directory.anyLeaseRenewedInTable());

  if (!this->tableWasRead()) {
    return;
  }

  this->OwnLease.tick(Now);
  this->Takeovers.tick(Now);
  this->Migrator.tick(Now);
  this->samplePeers(Now);

  if (this->DrainStarted && this->Migrator.drained()) {
    this->OwnLease.release(Now);
  }
}

void Member::onCommitResult(std::uint64_t Call, const CommitResult &Result,
                            TimePoint Now) {
  this->LastTick = std::max(this->LastTick, Now);
  this->Context.Table.onCommitResult(Call, Result, Now);
}

void Member::onTableRead(const std::optional<RowBatch> &Batch, TimePoint Now) {
  this->LastTick = std::max(this->LastTick, Now);
  this->Context.Table.onRead(Batch, Now);
}

RenewalReply Member::onRenewal(const InstanceId &From,
                               const RenewalRequest &Request, TimePoint Now) {
  RenewalReply Reply;
  Reply.Incarnation = this->Context.Identity.Incarnation;
  Reply.Accepted = this->LocalWitness.renew(Request, Now);
  Reply.CompleteVersion = this->Context.Cache.completeVersion();

  this->catchUpWith(From, Request.CompleteVersion);
  return Reply;
}

void Member::onRenewalReply(const InstanceId &Witness,
                            const RenewalRequest &Request,
                            const RenewalReply &Reply, TimePoint SentAt) {
  this->OwnLease.onRenewalReply(Witness, Request, Reply, SentAt);
  this->catchUpWith(Witness, Reply.CompleteVersion);
}

VoteReply Member::onVoteRequest(const VoteRequest &Request, TimePoint Now) {
  return this->LocalWitness.vote(Request, Now);
}

void Member::onVoteReply(const InstanceId &Voter, const VoteRequest &Request,
                         const VoteReply &Reply, TimePoint Now) {
  this->Takeovers.onVoteReply(Voter, Request, Reply, Now);
}

void Member::onPeerPush(const RowBatch &Batch, TimePoint Now) {
  this->LastTick = std::max(this->LastTick, Now);
  this->Context.Cache.apply(Batch);
}

void Member::onPeerRows(const RowBatch &Batch, TimePoint Now) {
  this->PeerReadOutstanding = false;
  this->onPeerPush(Batch, Now);
}

void Member::onPeerRowsFailed() { this->PeerReadOutstanding = false; }

void Member::catchUpWith(const InstanceId &Peer, RowVersion Version) {
  RowVersion Complete = this->Context.Cache.completeVersion();
  if (Version <= Complete || this->PeerReadOutstanding) {
    return;
  }

  this->PeerReadOutstanding = true;
  this->Context.Actions.fetchPeerRows(Peer, Complete);
}

void Member::onLoadReply(const InstanceId &Peer, const LoadStatus &Status,
                         TimePoint Now) {
  const InstanceDirectory::Instance *Self = this->Context.self();
  if (!Self || !Self->live() || !Self->Holding.Accepting ||
      !this->Migrator.idle()) {
    return;
  }

  OwnLoad Own = this->Load;
  Own.Status = this->loadStatus();
  SlotsByKeyspace Chosen =
      this->Balancer.choose(Own, Self->Holding.Slots, Status, Now);

  if (!Chosen.empty()) {
    this->Migrator.requestMove(Chosen, Peer, Now);
  }
}

void Member::samplePeers(TimePoint Now) {
  const InstanceDirectory::Instance *Self = this->Context.self();
  bool Serving = Self && Self->live() && Self->Holding.Accepting;
  if (Now < this->NextSampleAt || !Serving || !this->Migrator.idle()) {
    return;
  }

  // While a pool still holds slots, peers that own few are about to claim them.
  if (this->Migrator.hasClaimableSlots()) {
    return;
  }

  Duration Interval = this->Context.Times.BalanceInterval;
  this->NextSampleAt =
      Now + Interval / 2 + this->Context.randomDuration(Interval);

  std::vector<InstanceId> Peers = this->Context.Directory.receivers(
      Self->Holding.Service, this->Context.Identity.Instance);
  std::shuffle(Peers.begin(), Peers.end(), this->Context.Random);
  Peers.resize(std::min(Peers.size(), SampledPeers));

  for (const InstanceId &Peer : Peers) {
    this->Context.Actions.requestLoad(Peer);
  }
}

void Member::setBackend(const BackendState &State) {
  this->Migrator.setBackend(State);
  this->Takeovers.setCanServe(State.Serving);
}

void Member::setTakeoverDelay(std::uint64_t Milliseconds) {
  this->OwnLease.setTakeoverDelay(Milliseconds);
}

void Member::setPreference(PlacementPreference Preference) {
  this->Balancer.setPreference(Preference);
}

void Member::beginDrain() {
  this->DrainStarted = true;
  this->Migrator.beginDrain();
}

void Member::onSlotsIdle(std::uint64_t HandoverId,
                         const SlotsByKeyspace &Frozen, TimePoint Now) {
  this->Migrator.onSlotsIdle(HandoverId, Frozen, Now);
}

void Member::commit(const TableTransaction &Transaction,
                    TableClient::CommitCallback OnDone) {
  this->Context.Table.commit(Transaction, std::move(OnDone));
}

bool Member::owns(const std::string &Keyspace, SlotIndex Slot,
                  TimePoint Now) const {
  const InstanceDirectory::Instance *Self = this->Context.self();
  bool LeaseValid = this->OwnLease.membership() == Membership::Joined &&
                    this->OwnLease.holds(Now) && Self && Self->live();
  if (!LeaseValid) {
    return false;
  }

  auto Grants = Self->Holding.Slots.find(Keyspace);
  return Grants != Self->Holding.Slots.end() &&
         Grants->second.find(Slot).has_value();
}

LoadStatus Member::loadStatus() const {
  LoadStatus Status = this->Load.Status;

  if (const InstanceDirectory::Instance *Self = this->Context.self()) {
    Status.SlotCount =
        static_cast<std::uint32_t>(countSlots(Self->Holding.Slots));
    Status.Capacity = Self->Holding.Capacity;
    Status.Accepting = Self->live() && Self->Holding.Accepting;
  }

  return Status;
}

} // namespace hemlockspar
