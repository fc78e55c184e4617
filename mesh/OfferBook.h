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
class OfferBook {
public:
  // The giver's side.

  void ask(const InstanceId &Receiver) { this->Asked.insert(Receiver); }

  /// \p Receiver answered, or did not in time.
  void answered(const InstanceId &Receiver) { this->Asked.erase(Receiver); }

  /// Whether answers are awaited.
  bool waiting() const { return !this->Asked.empty(); }

  /// \p Receiver turned an offer down; it is left alone for a while.
  void declined(const InstanceId &Receiver, TimePoint Now);

  /// Instances that are not to be asked now.
  std::set<InstanceId> leftAlone(TimePoint Now);

  /// Keys of \p Load are on their way to another instance.
  void give(double Load, TimePoint Now);

  /// Load that was given and may still be measured here.
  double given(TimePoint Now) const;

  // The receiver's side.

  /// Keys of \p Load will come, added to \p Held that are here now.
  void promise(double Load, std::uint32_t Held, TimePoint Now);

  /// Load that was promised and may not be measured yet.
  double promised(TimePoint Now) const;

  /// Whether keys that were promised are still to come; \p Held are here now.
  bool awaits(std::uint32_t Held, TimePoint Now) const;

private:
  struct Passing {
    double Load = 0;
    TimePoint Until;
  };

  static double sum(const std::vector<Passing> &Loads, TimePoint Now);
  static void add(std::vector<Passing> &Loads, double Load, TimePoint Now);

  std::set<InstanceId> Asked;
  std::map<InstanceId, TimePoint> Declined;
  std::vector<Passing> Given;
  std::vector<Passing> Promised;
  std::uint32_t HeldAtPromise = 0;
  TimePoint AwaitedUntil;
};

} // namespace hemlockspar
