#pragma once

#include "core/Clock.h"

namespace hemlockspar {

/// Time constants of the lease protocol. All daemons of a system use the same.
struct Timing {
  /// A lease lasts this long from the time at which its renewals were sent.
  Duration LeaseDuration = std::chrono::milliseconds(1500);

  /// Time between two rounds of renewals.
  Duration RenewInterval = std::chrono::milliseconds(500);

  /// Maximum difference in clock rate between two machines, as a fraction.
  double DriftAllowance = 0.04;

  /// A witness that has not acknowledged for this long is replaced.
  Duration WitnessTimeout = std::chrono::milliseconds(2000);

  /// Interval between checks for unusable witnesses.
  Duration WitnessCheckInterval = std::chrono::milliseconds(250);

  /// A replaced witness is not chosen again for this long.
  Duration WitnessAvoidanceTime = std::chrono::seconds(30);

  /// Interval between checks for an instance that ranks higher than a current
  /// witness.
  Duration WitnessRebalanceInterval = std::chrono::seconds(60);

  /// Delay between the campaign starts of the witnesses of one holder, by their
  /// order in the lease row.
  Duration CampaignStagger = std::chrono::milliseconds(60);

  /// Time between two rounds of vote requests of one campaign.
  Duration VoteInterval = std::chrono::milliseconds(100);

  /// Interval between reads of the table's changes when nothing requests one
  /// earlier.
  Duration ReadInterval = std::chrono::seconds(5);

  /// As ReadInterval, while any lease is renewed in the table.
  Duration FastReadInterval = std::chrono::milliseconds(250);

  /// Time after which an unanswered table call counts as unknown.
  Duration TableTimeout = std::chrono::milliseconds(2000);

  /// Delay between a failed table call and its retry.
  Duration TableRetryDelay = std::chrono::milliseconds(250);

  /// A non-urgent witness replacement waits a random time of up to this,
  /// multiplied by the number of live instances.
  Duration ReplacementJitterPerInstance = std::chrono::milliseconds(50);

  /// Time between two comparisons of load with sampled peers.
  Duration BalanceInterval = std::chrono::seconds(2);

  /// Once a handover has found slots with requests in flight for this long, the
  /// next one freezes them too and waits for their requests.
  Duration BusySlotFreezeDelay = std::chrono::seconds(2);

  /// Lease duration on the holder's clock, shortened by the clock drift.
  Duration holderLeaseDuration() const {
    return std::chrono::duration_cast<Duration>(this->LeaseDuration *
                                                (1.0 - this->DriftAllowance));
  }

  /// Time without renewal after which a witness votes a lease expired, extended
  /// by the clock drift.
  Duration witnessLeaseDuration() const {
    return std::chrono::duration_cast<Duration>(this->LeaseDuration *
                                                (1.0 + this->DriftAllowance));
  }
};

} // namespace hemlockspar
