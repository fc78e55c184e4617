#pragma once

#include "coordination/LeaseManager.h"
#include "coordination/MemberContext.h"

namespace hemlockspar {

/// The backend server beside this daemon.
struct BackendState {
  std::string Service;
  std::uint32_t Capacity = 0;

  /// Whether it can serve requests.
  bool Serving = false;

  bool operator==(const BackendState &) const = default;
};

/// Manages this instance's own holding row: claims slots from the pools, hands
/// slots over to other instances, and hands over all of them when the backend
/// server cannot serve or the instance leaves. Makes one change at a time.
/// Performs no I/O.
class SlotMigrator {
public:
  SlotMigrator(MemberContext &Context, const LeaseManager &OwnLease);

  void setBackend(BackendState State) { this->Backend = std::move(State); }

  /// Stops accepting slots and starts to hand over all that are owned.
  void beginDrain() { this->Draining = true; }

  /// Whether no slot is owned and no change is in progress.
  bool drained() const;

  /// Hands \p Slots to \p Receiver. Returns false when a change is in progress,
  /// the lease is not valid or the table is not healthy.
  bool requestMove(const SlotsByKeyspace &Slots, const InstanceId &Receiver,
                   TimePoint Now);

  /// Called when the request path has frozen the slots \p Frozen and none of
  /// them has a request in flight.
  void onSlotsIdle(std::uint64_t HandoverId, const SlotsByKeyspace &Frozen,
                   TimePoint Now);

  void tick(TimePoint Now);

  /// Whether a pool holds slots of this instance's service.
  bool hasClaimableSlots() const;

  bool idle() const { return this->Phase == MovePhase::Idle; }

private:
  enum class MovePhase {
    Idle,
    CheckingTable,
    Freezing,
    Committing,
    Unresolved
  };

  /// A key space of this instance's service with unowned slots.
  struct ClaimablePool {
    std::string Keyspace;
    SlotGrants Slots;
  };

  std::vector<ClaimablePool> claimablePools() const;
  void startNext(TimePoint Now);
  bool updateHoldingRow(TimePoint Now);
  bool handOverAllSlots(TimePoint Now);
  bool claimFromPool(TimePoint Now);
  void beginHandover(const SlotsByKeyspace &Slots, std::vector<InstanceId> To,
                     TimePoint Now);
  void checkTable(TimePoint Now);
  void freeze(TimePoint Now);
  void commit(const TableTransaction &Transaction, TimePoint Now);
  void onCommitted(const TableTransaction &Transaction,
                   const CommitResult &Result, TimePoint Now);
  void resolveUnknownCommit(TimePoint Now);
  void finish(PlacementEvent Event, const std::string &Detail);

  /// How many slots of \p Keyspace this instance should own.
  std::size_t fairShare(const std::string &Keyspace,
                        const SlotGrants &Pool) const;

  MemberContext &Context;
  const LeaseManager &OwnLease;
  BackendState Backend;
  bool Draining = false;

  MovePhase Phase = MovePhase::Idle;
  std::uint64_t LastHandoverId = 0;

  /// The handover in progress; zero when there is none.
  std::uint64_t HandoverId = 0;
  std::vector<InstanceId> Receivers;
  SlotsByKeyspace MovingSlots;
  std::size_t MovingSlotCount = 0;
  TimePoint CheckStartedAt;
  std::uint64_t CheckReadNumber = 0;

  /// Version of the own holding row that the outstanding write replaces.
  RowVersion ReplacedHoldingVersion = 0;
  TimePoint UnresolvedSince;
  TimePoint RetryAt;
  std::optional<TimePoint> BusySince;
};

} // namespace hemlockspar
