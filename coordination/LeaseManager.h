#pragma once

#include "coordination/LeaseHolder.h"
#include "coordination/MemberContext.h"
#include "coordination/TransferBuilder.h"
#include "coordination/WitnessSelector.h"

namespace hemlockspar {

/// Where this process stands with its own lease row.
enum class Membership { NotJoined, Joined, Superseded, Released };

/// Name of \p State for resources and logs.
const char *nameOf(Membership State);

/// Writes this instance's own lease row: joining, keeping the set of
/// witnesses good, renewing in the table when there are too few witnesses,
/// and leaving. Free of I/O.
class LeaseManager {
public:
  explicit LeaseManager(MemberContext &Context);

  /// The cache holds a newer version of the own lease row.
  void onOwnLeaseRow(TimePoint Now);

  void onRenewalReply(const InstanceId &Witness, const RenewalRequest &Request,
                      const RenewalReply &Reply, TimePoint SentAt);

  void tick(TimePoint Now);

  /// Takeovers wait this much longer; written with the next row.
  void setTakeoverDelay(std::uint64_t Milliseconds);

  /// Ends the lease on purpose. The holding row must be empty.
  void release(TimePoint Now);

  /// The row with which this process would start a life of its own.
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

  /// Current witnesses that still answer, have not been restarted and are not
  /// about to be replaced by better placed ones.
  WitnessSet usableWitnesses(TimePoint Now) const;
  WitnessSet chooseWitnesses(const WitnessSet &Keep, TimePoint Now) const;

  MemberContext &Context;
  LeaseHolder Holder;
  WitnessSelector Selector;
  Membership State = Membership::NotJoined;
  std::uint64_t TakeoverDelayMs = 0;

  bool WriteOutstanding = false;

  /// Set while the outcome of a write is not known.
  std::optional<TimePoint> UnresolvedSince;
  TimePoint RetryAt;
  TimePoint NextWitnessCheckAt;
  std::optional<TimePoint> WitnessChangeDueAt;
  std::map<InstanceId, TimePoint> AvoidUntil;
  std::optional<TimePoint> NextRebalanceCheckAt;

  /// A current witness that is to make room for a better placed one.
  std::optional<WitnessRef> WitnessToReplace;
};

} // namespace hemlockspar
