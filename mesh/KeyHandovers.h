#pragma once

#include "mesh/KeyMap.h"
#include "mesh/KeyPlanner.h"

#include <functional>

namespace hemlockspar {

/// Keys being handed over to another instance.
struct KeyHandover {
  KeyRange Keys;
  KeyMapOwner Receiver;
  TimePoint StartedAt;

  /// Requests for the keys are sent to the backend server until then.
  TimePoint ServedUntil;

  /// From then on every grant of the keys has expired, so the backend server
  /// cannot hold them.
  TimePoint HoldExpiresAt;
  std::vector<ReleasedKeys> Released;

  /// The backend server no longer holds the keys, and the write that assigns
  /// them to the receiver is in flight.
  bool WritePending = false;
};

/// The handovers that this instance has started as owner. A handover lasts from
/// the decision, through the backend server's report that it has released the
/// keys, to the write that names the next owner. Free of I/O.
class KeyHandovers {
public:
  void start(KeyHandover Started);

  bool empty() const { return this->Handovers.empty(); }
  void clear() { this->Handovers.clear(); }

  /// Whether any of \p Keys is being handed over.
  bool overlaps(const KeyRange &Keys) const;

  /// Whether \p Key is being handed over and requests for it are no longer sent
  /// to the backend server.
  bool isDraining(KeyNumber Key, TimePoint Now) const;

  /// The instances that are to receive keys.
  std::set<InstanceId> receivers() const;

  /// The keys of each handover.
  std::vector<KeyRange> ranges() const;

  /// The parts of \p Owned that are not being handed over.
  std::vector<KeyMapEntry>
  subtractFrom(const std::vector<KeyMapEntry> &Owned) const;

  /// Records that the backend server has released \p Released.
  void recordReleases(const std::vector<ReleasedKeys> &Released);

  /// Assigns the keys that the backend server no longer holds to their
  /// receivers in \p Map; false when there are none.
  bool assignReleased(KeyMap &Map, TimePoint Now);

  /// Removes the handovers that assignReleased put into the map, after that map
  /// has been written.
  void removeWritten();

  void removeIf(const std::function<bool(const KeyHandover &)> &Condition) {
    std::erase_if(this->Handovers, Condition);
  }

private:
  static bool isReleased(const KeyHandover &Handover, TimePoint Now);

  /// Sorted by their keys.
  std::vector<KeyHandover> Handovers;
};

} // namespace hemlockspar
