#pragma once

#include "coordination/Messages.h"
#include "coordination/RowCache.h"
#include "coordination/Rows.h"
#include "coordination/Timing.h"

#include <map>

namespace hemlockspar {

/// The witness's side of other instances' leases: records their renewals and
/// votes on their expiry. State is kept in memory only. Performs no I/O.
class Witness {
public:
  /// \p StartedAt is when this process began; renewals acknowledged by an
  /// earlier process of the same instance were sent before it.
  Witness(InstanceId Self, hemlockspar::Incarnation Incarnation, Timing Times,
          TimePoint StartedAt);

  /// A newer lease row of \p Holder has become known.
  void onLeaseRow(const InstanceId &Holder, const LeaseRow &Row,
                  RowVersion Version, TimePoint Now);

  /// Records a renewal and returns true, unless this version was voted expired
  /// or has been replaced.
  bool renew(const RenewalRequest &Request, TimePoint Now);

  /// Votes on \p Request; a vote for expiry is binding from then on.
  VoteReply vote(const VoteRequest &Request, TimePoint Now);

  /// Holders naming this instance as a witness that have not renewed within
  /// Timing::witnessLeaseDuration.
  std::vector<InstanceId> overdueHolders(TimePoint Now) const;

  /// This process was suspended until \p Now. Renewals may still be waiting to
  /// be read, so holders get a full lease duration before they count as
  /// overdue.
  void onResume(TimePoint Now) { this->ResumedAt = Now; }

  /// Number of holders that name this instance as a witness.
  std::size_t witnessedCount() const;

private:
  struct VersionRecord {
    std::optional<TimePoint> RenewedAt;
    bool VotedExpired = false;
  };

  struct HolderRecord {
    /// The newest lease row known, and its version.
    LeaseRow Row;
    RowVersion Version = 0;

    /// Whether that row names this instance. Witnesses of only the previous
    /// version receive no renewals, so for them missing renewals are not a sign
    /// of failure.
    bool NamesSelf = false;

    /// When a renewal was last recorded or a newer lease row became known.
    TimePoint LastActivityAt;

    std::map<RowVersion, VersionRecord> Versions;
  };

  bool mayRenew(const HolderRecord &Holder,
                const RenewalRequest &Request) const;
  bool voteOn(HolderRecord &Holder, RowVersion Version, TimePoint Now);
  bool containsSelf(const WitnessSet &Witnesses) const;

  InstanceId Self;
  hemlockspar::Incarnation Incarnation;
  Timing Times;
  TimePoint StartedAt;
  TimePoint ResumedAt;
  std::map<InstanceId, HolderRecord> Holders;
};

} // namespace hemlockspar
