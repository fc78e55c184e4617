#pragma once

#include "coordination/Identity.h"
#include "core/Clock.h"

#include <map>
#include <set>
#include <vector>

namespace hemlockspar {

/// Tracks the offers that an instance has made and accepted. A handover shows
/// in the measured loads only after seconds. Until then its load is accounted
/// for here, subtracted at the giver and added at the receiver, so that several
/// owners do not hand keys to one instance at once and one owner does not move
/// the same load twice. Loads are shares of the slots. Free of I/O.
class OfferTracker {
public:
  // Giver side.

  void addPending(const InstanceId &Receiver) {
    this->Pending.insert(Receiver);
  }

  /// \p Receiver responded, or failed to in time.
  void removePending(const InstanceId &Receiver) {
    this->Pending.erase(Receiver);
  }

  /// Whether responses are pending.
  bool hasPending() const { return !this->Pending.empty(); }

  /// \p Receiver declined an offer; it is excluded for a while.
  void recordDecline(const InstanceId &Receiver, TimePoint Now);

  /// Instances that must not be made an offer now.
  std::set<InstanceId> excludedReceivers(TimePoint Now);

  /// Records that keys with a load of \p Load are being handed to another
  /// instance.
  void recordOutgoing(double Load, TimePoint Now);

  /// Load of the keys handed over that may still be measured here.
  double outgoingLoad(TimePoint Now) const;

  // Receiver side.

  /// Records that keys with a load of \p Load will arrive, in addition to the
  /// \p Held keys that are here now.
  void recordIncoming(double Load, std::uint32_t Held, TimePoint Now);

  /// Load that was accepted and may not be measured yet.
  double incomingLoad(TimePoint Now) const;

  /// Whether accepted keys have yet to arrive; \p Held is the number of keys
  /// that are here now.
  bool expectsKeys(std::uint32_t Held, TimePoint Now) const;

private:
  struct LoadInTransit {
    double Load = 0;
    TimePoint Until;
  };

  static double sumActive(const std::vector<LoadInTransit> &Loads,
                          TimePoint Now);
  static void add(std::vector<LoadInTransit> &Loads, double Load,
                  TimePoint Now);

  std::set<InstanceId> Pending;
  std::map<InstanceId, TimePoint> DeclinedUntil;
  std::vector<LoadInTransit> Outgoing;
  std::vector<LoadInTransit> Incoming;
  std::uint32_t KeyCountAtAccept = 0;
  TimePoint KeysExpectedUntil;
};

} // namespace hemlockspar
