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

/// The holder's side of a lease: determines which renewals to send and when the
/// lease expires. Performs no I/O.
class LeaseHolder {
public:
  LeaseHolder(InstanceId Self, Timing Times);

  /// Makes \p Row, committed at \p Version, the lease to renew.
  /// Acknowledgements of the version that it replaces stay valid.
  void adopt(const LeaseRow &Row, RowVersion Version, TimePoint Now);

  /// Drops the lease; this process no longer owns it.
  void reset();

  /// Must be called before a write of the lease row is sent. Drops the
  /// acknowledgements of the previous version, because a takeover of the row
  /// being written would not ask the previous version's witnesses.
  void beforeRowWrite();

  /// The table has committed the row at the adopted version; the write was
  /// sent at \p SentAt. Extends a lease that has no witnesses.
  void onTableRenewal(RowVersion Version, TimePoint SentAt);

  /// Renewals that are due.
  std::vector<Renewal> renewalsDue(TimePoint Now, RowVersion CompleteVersion);

  /// A witness answered a renewal that was sent at \p SentAt.
  void onRenewalReply(const InstanceId &Witness, const RenewalRequest &Request,
                      const RenewalReply &Reply, TimePoint SentAt);

  /// The time at which the lease expires for its holder.
  TimePoint expiresAt() const;

  /// Whether the lease is valid at \p Now.
  bool holds(TimePoint Now) const { return Now < this->expiresAt(); }

  /// Whether the lease is valid at \p Now by acknowledgements of the current
  /// version alone.
  bool currentVersionHolds(TimePoint Now) const;

  /// Witnesses that have not acknowledged the current version for
  /// Timing::WitnessTimeout.
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

/// The number of witnesses that make a majority of \p Count.
std::size_t majorityOf(std::size_t Count);

} // namespace hemlockspar
