#pragma once

#include "core/Clock.h"

namespace hemlockspar {

/// Time constants of the lease protocol. All daemons of a system use the same.
struct Timing {
  /// A lease runs this long from the moment its renewals were sent.
  Duration LeaseDuration = std::chrono::milliseconds(1500);

  /// Time between two rounds of renewals.
  Duration RenewInterval = std::chrono::milliseconds(500);

  /// Clocks of two machines may differ in rate by this fraction.
  double DriftAllowance = 0.04;

  /// A witness that has not acknowledged for this long is replaced.
  Duration WitnessTimeout = std::chrono::milliseconds(2000);

  /// Time between two checks of whether the set of witnesses is good.
  Duration WitnessCheckInterval = std::chrono::milliseconds(250);

  /// A replaced witness is not chosen again for this long.
  Duration WitnessAvoidanceTime = std::chrono::seconds(30);

  /// Time between two looks at whether another instance would be the better
  /// witness.
  Duration WitnessRebalanceInterval = std::chrono::seconds(60);

  /// The witnesses of a lost holder start their campaigns this far apart.
  Duration CampaignStagger = std::chrono::milliseconds(60);

  /// Time between two rounds of vote requests of one campaign.
  Duration VoteInterval = std::chrono::milliseconds(100);

  /// A daemon reads the table's changes this often when all is quiet.
  Duration ReadInterval = std::chrono::seconds(5);

  /// As ReadInterval, while a lease is kept in the table itself.
  Duration FastReadInterval = std::chrono::milliseconds(250);

  /// Time after which an unanswered table call counts as unknown.
  Duration TableTimeout = std::chrono::milliseconds(2000);

  /// Time between a failed table call and the next try.
  Duration TableRetryDelay = std::chrono::milliseconds(250);

  /// Witness replacements are spread over this long for each instance.
  Duration ReplacementJitterPerInstance = std::chrono::milliseconds(50);

  /// Time between two comparisons of load with sampled peers.
  Duration BalanceInterval = std::chrono::seconds(2);

  /// A slot that stays busy is frozen for handover after this long.
  Duration BusySlotFreezeDelay = std::chrono::seconds(2);

  /// How long a holder may rely on its lease, on its own clock.
  Duration holderLeaseDuration() const {
    return std::chrono::duration_cast<Duration>(this->LeaseDuration *
                                                (1.0 - this->DriftAllowance));
  }

  /// How long a witness waits before it votes a lease expired.
  Duration witnessLeaseDuration() const {
    return std::chrono::duration_cast<Duration>(this->LeaseDuration *
                                                (1.0 + this->DriftAllowance));
  }
};

} // namespace hemlockspar
