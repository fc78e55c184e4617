#pragma once

#include "coordination/Messages.h"
#include "coordination/Rows.h"
#include "coordination/Timing.h"

#include <optional>

namespace hemlockspar {

/// A renewal to be sent to one witness.
struct Renewal {
  InstanceId Witness;
  RenewalRequest Request;
};

/// The holder's side of a lease: which renewals to send, and until when the
/// lease may be relied on. Free of I/O.
class LeaseHolder {
public:
  LeaseHolder(InstanceId Self, Timing Times);

  /// Takes \p Row, committed at \p Version, as the lease to renew. What is
  /// left of the version it replaced still counts.
  void adopt(const LeaseRow &Row, RowVersion Version, TimePoint Now);

  /// The lease is no longer this process's.
  void reset();

  /// Must be called before a write of the lease row is sent: the version
  /// before the current one stops counting, because a takeover of the next
  /// row would not ask its witnesses.
  void beforeRowWrite();

  /// The table has committed the row at the adopted version; the write was
  /// sent at \p SentAt. Extends a lease that has no witnesses.
  void onTableRenewal(RowVersion Version, TimePoint SentAt);

  /// Renewals that are due.
  std::vector<Renewal> renewalsDue(TimePoint Now, RowVersion CompleteVersion);

  /// A witness answered a renewal that was sent at \p SentAt.
  void onRenewalReply(const InstanceId &Witness, const RenewalRequest &Request,
                      const RenewalReply &Reply, TimePoint SentAt);

  /// The moment at which the lease must no longer be relied on.
  TimePoint expiresAt() const;

  /// Whether the lease may be relied on at \p Now.
  bool holds(TimePoint Now) const { return Now < this->expiresAt(); }

  /// Whether the current version alone, without what is left of the previous
  /// one, carries the lease at \p Now.
  bool currentVersionHolds(TimePoint Now) const;

  /// Witnesses that have not acknowledged the current version for
  /// Timing::WitnessLostAfter.
  std::vector<InstanceId> unresponsiveWitnesses(TimePoint Now) const;

  /// Version of the adopted row; zero when there is none.
  RowVersion version() const;

  bool renewsInTable() const;

private:
  /// One version of the lease row and what its witnesses acknowledged.
  struct HeldVersion {
    RowVersion Version = 0;
    std::uint64_t Epoch = 0;
    WitnessSet Witnesses;

    /// For each witness, when the latest renewal it acknowledged was sent.
    std::vector<std::optional<TimePoint>> AcknowledgedSentAt;

    std::optional<TimePoint> TableWriteSentAt;
    TimePoint AdoptedAt;
  };

  std::optional<TimePoint> leaseStart(const HeldVersion &Lease) const;
  TimePoint leaseExpiry(const std::optional<HeldVersion> &Lease) const;

  InstanceId Self;
  Timing Times;
  std::optional<HeldVersion> Current;
  std::optional<HeldVersion> Previous;
  std::optional<TimePoint> LastRenewalRoundAt;
};

/// How many of \p Count witnesses are a majority.
std::size_t majorityOf(std::size_t Count);

} // namespace hemlockspar
