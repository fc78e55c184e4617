#pragma once

#include "coordination/Identity.h"
#include "core/Clock.h"

#include <map>
#include <set>
#include <vector>

namespace hemlockspar {

/// What an instance has offered to others and promised to them. Measured loads
/// follow a gift of keys only after seconds; until then it counts here, at the
/// giver as gone and at the receiver as come, so that several owners do not
/// give to one instance at once and one owner does not give twice for the same
/// load. Loads are shares of the slots. Free of I/O.
class OfferTracker {
public:
  // The giver's side.

  void addPending(const InstanceId &Receiver) {
    this->Pending.insert(Receiver);
  }

  /// \p Receiver answered, or did not in time.
  void removePending(const InstanceId &Receiver) {
    this->Pending.erase(Receiver);
  }

  /// Whether answers are awaited.
  bool hasPending() const { return !this->Pending.empty(); }

  /// \p Receiver turned an offer down; it is left alone for a while.
  void recordDecline(const InstanceId &Receiver, TimePoint Now);

  /// Instances that are not to be asked now.
  std::set<InstanceId> excludedReceivers(TimePoint Now);

  /// Keys of \p Load are on their way to another instance.
  void recordOutgoing(double Load, TimePoint Now);

  /// Load that was given and may still be measured here.
  double outgoingLoad(TimePoint Now) const;

  // The receiver's side.

  /// Keys of \p Load will come, added to \p Held that are here now.
  void recordIncoming(double Load, std::uint32_t Held, TimePoint Now);

  /// Load that was promised and may not be measured yet.
  double incomingLoad(TimePoint Now) const;

  /// Whether keys that were promised are still to come; \p Held are here now.
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
