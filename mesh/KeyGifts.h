#pragma once

#include "mesh/KeyMap.h"
#include "mesh/KeyPlanner.h"

#include <functional>

namespace hemlockspar {

/// Keys on their way to another instance.
struct KeyGift {
  KeyRange Keys;
  KeyHolder To;
  TimePoint Since;

  /// The backend server is sent requests for them until then.
  TimePoint ServedUntil;

  /// The backend server cannot hold them any more from then on.
  TimePoint HoldEnd;
  std::vector<ReleasedKeys> Released;

  /// Nobody holds them; they are in the write that is under way.
  bool LetGo = false;
};

/// The keys that an owner is giving away: from the decision, over the backend
/// server's word that it has let go of them, to the write that names the next
/// owner. Free of I/O.
class KeyGifts {
public:
  void begin(KeyGift Begun);

  bool empty() const { return this->Gifts.empty(); }
  void clear() { this->Gifts.clear(); }

  /// Whether any of \p Keys is being given.
  bool concerns(const KeyRange &Keys) const;

  /// Whether the backend server is sent no more requests for \p Key.
  bool isDraining(KeyNumber Key, TimePoint Now) const;

  /// To whom keys are being given.
  std::set<InstanceId> receivers() const;

  /// What is left of \p Owned without the gifts.
  std::vector<OwnedKeys> without(const std::vector<OwnedKeys> &Owned) const;

  /// The backend server has let go of \p Released.
  void noteReleases(const std::vector<ReleasedKeys> &Released);

  /// Gives the keys that nobody holds any more to their next owners in \p Map;
  /// false when there are none.
  bool handOver(KeyMap &Map, TimePoint Now);

  /// The map that handOver changed has been written.
  void dropHandedOver();

  void dropIf(const std::function<bool(const KeyGift &)> &Condition) {
    std::erase_if(this->Gifts, Condition);
  }

private:
  static bool hasLetGo(const KeyGift &Given, TimePoint Now);

  /// In the order of their keys.
  std::vector<KeyGift> Gifts;
};

} // namespace hemlockspar
