#pragma once

#include "mesh/KeyMap.h"
#include "mesh/KeyPlanner.h"

#include <functional>

namespace hemlockspar {

/// Keys on their way to another instance.
struct KeyHandover {
  KeySpan Keys;
  KeyMapOwner Receiver;
  TimePoint StartedAt;

  /// The backend server is sent requests for them until then.
  TimePoint ServedUntil;

  /// The backend server cannot hold them any more from then on.
  TimePoint HoldExpiresAt;
  std::vector<ReleasedKeys> Released;

  /// Nobody holds them; they are in the write that is under way.
  bool WritePending = false;
};

/// The keys that an owner is giving away: from the decision, over the backend
/// server's word that it has let go of them, to the write that names the next
/// owner. Free of I/O.
class KeyHandovers {
public:
  void start(KeyHandover Begun);

  bool empty() const { return this->Handovers.empty(); }
  void clear() { this->Handovers.clear(); }

  /// Whether any of \p Keys is being given.
  bool overlaps(const KeySpan &Keys) const;

  /// Whether the backend server is sent no more requests for \p Key.
  bool isDraining(KeyNumber Key, TimePoint Now) const;

  /// To whom keys are being given.
  std::set<InstanceId> receivers() const;

  /// What is left of \p Owned without the gifts.
  std::vector<KeyMapEntry>
  subtractFrom(const std::vector<KeyMapEntry> &Owned) const;

  /// The backend server has let go of \p Released.
  void recordReleases(const std::vector<ReleasedKeys> &Released);

  /// Gives the keys that nobody holds any more to their next owners in \p Map;
  /// false when there are none.
  bool assignReleased(KeyMap &Map, TimePoint Now);

  /// The map that handOver changed has been written.
  void removeWritten();

  void removeIf(const std::function<bool(const KeyHandover &)> &Condition) {
    std::erase_if(this->Handovers, Condition);
  }

private:
  static bool isReleased(const KeyHandover &Given, TimePoint Now);

  /// In the order of their keys.
  std::vector<KeyHandover> Handovers;
};

} // namespace hemlockspar
