#pragma once

#include "coordination/LeaseManager.h"
#include "coordination/MemberContext.h"
#include "coordination/SlotBalancer.h"
#include "coordination/SlotMigrator.h"
#include "coordination/TakeoverManager.h"
#include "coordination/Witness.h"

namespace hemlockspar {

/// One instance's side of the coordination protocol: combines lease management,
/// witnessing, takeover and slot placement. Takes events and the current time,
/// and calls MemberActions. Not thread-safe. Performs no I/O.
class Member {
public:
  /// Interval between calls of tick that the protocol's timing assumes.
  static constexpr Duration TickInterval = std::chrono::milliseconds(20);

  /// \p Seed seeds the random delays and the sampling of peers.
  Member(MemberIdentity Identity, Timing Times, MemberActions &Actions,
         std::uint64_t Seed, TimePoint StartedAt);

  Member(const Member &) = delete;
  Member &operator=(const Member &) = delete;

  /// Called about every TickInterval.
  void tick(TimePoint Now);

  // Answers of the table service.

  void onCommitResult(std::uint64_t Call, const CommitResult &Result,
                      TimePoint Now);
  void onTableRead(const std::optional<RowBatch> &Batch, TimePoint Now);

  // Messages of peers.

  RenewalReply onRenewal(const InstanceId &From, const RenewalRequest &Request,
                         TimePoint Now);
  void onRenewalReply(const InstanceId &Witness, const RenewalRequest &Request,
                      const RenewalReply &Reply, TimePoint SentAt);
  VoteReply onVoteRequest(const VoteRequest &Request, TimePoint Now);
  void onVoteReply(const InstanceId &Voter, const VoteRequest &Request,
                   const VoteReply &Reply, TimePoint Now);

  /// Rows that a peer pushed.
  void onPeerPush(const RowBatch &Batch, TimePoint Now);

  /// Rows that a peer sent on request.
  void onPeerRows(const RowBatch &Batch, TimePoint Now);

  /// A request for a peer's rows failed.
  void onPeerRowsFailed();

  void onLoadReply(const InstanceId &Peer, const LoadStatus &Status,
                   TimePoint Now);

  // Events of this instance.

  void setBackend(const BackendState &State);
  void setTakeoverDelay(std::uint64_t Milliseconds);
  void setLoad(OwnLoad Load) { this->Load = std::move(Load); }
  void setPreference(PlacementPreference Preference);
  void beginDrain();
  void onSlotsIdle(std::uint64_t HandoverId, const SlotsByKeyspace &Frozen,
                   TimePoint Now);

  /// Commits a transaction on declared resources for the caller.
  void commit(const TableTransaction &Transaction,
              TableClient::CommitCallback OnDone);

  /// Requests a read of the table because the cached rows seem out of date.
  void requestTableRead() { this->Context.Table.requestRead(); }

  // State.

  Membership membership() const { return this->OwnLease.membership(); }

  /// The time at which this instance must stop dispatching.
  TimePoint leaseExpiresAt() const { return this->OwnLease.expiresAt(); }

  /// Whether a request for the slot may be dispatched here at \p Now. Slots
  /// frozen for a handover count as owned.
  bool owns(const std::string &Keyspace, SlotIndex Slot, TimePoint Now) const;

  LoadStatus loadStatus() const;
  const RowCache &cache() const { return this->Context.Cache; }
  const InstanceDirectory &directory() const { return this->Context.Directory; }
  const MemberIdentity &identity() const { return this->Context.Identity; }
  bool tableHealthy() const { return this->Context.Table.healthy(); }
  bool tableWasRead() const { return this->tableReadSince({}); }

  /// Whether a read of the table that began after \p Moment was answered.
  bool tableReadSince(TimePoint Moment) const {
    return this->Context.Table.hasReadSince(Moment);
  }
  std::size_t campaignCount() const { return this->Takeovers.campaignCount(); }
  std::size_t witnessedCount() const {
    return this->LocalWitness.witnessedCount();
  }

  /// Incremented with every row that changes.
  std::uint64_t rowChangeCount() const { return this->RowChangeCount; }

private:
  void onRow(const TableRow &Row, TimePoint Now);
  void catchUpWith(const InstanceId &Peer, RowVersion Version);
  void samplePeers(TimePoint Now);

  MemberContext Context;
  Witness LocalWitness;
  LeaseManager OwnLease;
  TakeoverManager Takeovers;
  hemlockspar::SlotMigrator Migrator;
  SlotBalancer Balancer;
  OwnLoad Load;

  TimePoint LastTick;
  TimePoint NextSampleAt;
  bool PeerReadOutstanding = false;
  bool DrainStarted = false;
  std::uint64_t RowChangeCount = 0;
};

} // namespace hemlockspar
