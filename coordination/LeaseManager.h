#pragma once

#include "coordination/LeaseHolder.h"
#include "coordination/MemberContext.h"
#include "coordination/TransferBuilder.h"
#include "coordination/WitnessSelector.h"

namespace hemlockspar {

/// State of this process with respect to its own lease row. Shown as "outside"
/// (NotJoined), "inside" (Joined), "superseded" and "released".
enum class Membership { NotJoined, Joined, Superseded, Released };

/// Name of \p State for resources and logs.
const char *nameOf(Membership State);

/// Manages this instance's own lease row: joins, replaces witnesses that stop
/// answering, renews in the table when there are too few witnesses, and
/// releases the lease. Performs no I/O.
class LeaseManager {
public:
  explicit LeaseManager(MemberContext &Context);

  /// Called when the cache has received a newer version of the own lease row.
  void onOwnLeaseRow(TimePoint Now);

  void onRenewalReply(const InstanceId &Witness, const RenewalRequest &Request,
                      const RenewalReply &Reply, TimePoint SentAt);

  void tick(TimePoint Now);

  /// Sets LeaseRow::TakeoverDelayMs; takes effect with the next write of the
  /// row.
  void setTakeoverDelay(std::uint64_t DelayMs);

  /// Releases the lease voluntarily. The holding row must be empty.
  void release(TimePoint Now);

  /// Returns a lease row for this process with newly chosen witnesses; the
  /// caller sets the epoch.
  LeaseRow newLeaseRow(TimePoint Now);

  Membership membership() const { return this->State; }
  bool holds(TimePoint Now) const { return this->Holder.holds(Now); }
  TimePoint expiresAt() const { return this->Holder.expiresAt(); }

private:
  void join(TimePoint Now);
  void maintainLease(TimePoint Now);
  void checkWitnesses(TimePoint Now);
  void avoidUnresponsiveWitnesses(TimePoint Now);
  void selectWitnessToReplace(TimePoint Now);
  void writeLeaseRow(TimePoint Now);
  void commitLeaseRow(const TableTransaction &Transaction, TimePoint Now,
                      bool Push = false);
  void onLeaseRowCommitted(const CommitResult &Result, TimePoint SentAt,
                           TimePoint Now);
  bool writePending(TimePoint Now);

  /// Current witnesses that still answer, have not restarted and are not
  /// WitnessToReplace.
  WitnessSet usableWitnesses(TimePoint Now) const;
  WitnessSet chooseWitnesses(const WitnessSet &Keep, TimePoint Now) const;

  MemberContext &Context;
  LeaseHolder Holder;
  WitnessSelector Selector;
  Membership State = Membership::NotJoined;
  std::uint64_t TakeoverDelayMs = 0;

  bool WriteOutstanding = false;

  /// When a write ended in a conflict or without a known outcome; reset once
  /// the table has been read after that.
  std::optional<TimePoint> UnresolvedSince;
  TimePoint RetryAt;
  TimePoint NextWitnessCheckAt;
  std::optional<TimePoint> WitnessChangeDueAt;
  std::map<InstanceId, TimePoint> AvoidUntil;
  std::optional<TimePoint> NextRebalanceCheckAt;

  /// A current witness to be replaced by one that ranks higher.
  std::optional<WitnessRef> WitnessToReplace;
};

} // namespace hemlockspar
