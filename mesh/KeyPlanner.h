#pragma once

#include "mesh/KeyLoads.h"
#include "mesh/KeyMap.h"

#include <set>

namespace hemlockspar {

/// A backend server that may be given keys.
struct KeyMember {
  KeyHolder Holder;

  /// Share of its slots that were busy, from 0 to 1; above 1 when requests
  /// waited.
  double Load = 0;
};

/// Keys to be handed from this instance to another.
struct PlannedGift {
  KeyRange Keys;
  KeyHolder To;
};

/// The first layout: neighbouring keys in equal parts, since nothing is known
/// of the load yet. \p Members must not be empty.
KeyMap firstLayout(const std::vector<KeyMember> &Members);

/// Spreads \p Spans over \p Members so that all come near the same number of
/// keys; answers the loss or leaving of a backend server. \p Members must not
/// be empty.
std::vector<PlannedGift> spread(const KeyMap &Map,
                                const std::vector<KeyRange> &Spans,
                                const std::vector<KeyMember> &Members);

/// To whom the owner \p Self should offer keys now, if to anyone. Answers two
/// loads: a backend server that has joined and owns nothing (the most loaded
/// owners offer it a part), and hot keys that keep one owner much busier than
/// another. \p Members holds Self, with the loads of all as far as known;
/// those in \p LeftAlone are not asked now. \p OwnLoad is what will be left of
/// Self's load.
std::optional<KeyMember> chooseReceiver(const KeyMap &Map,
                                        const KeyHolder &Self,
                                        const std::vector<KeyMember> &Members,
                                        const std::set<InstanceId> &LeftAlone,
                                        double OwnLoad);

/// Which of the keys \p Owned go to a receiver that takes \p Part of the
/// giver's load \p OwnLoad; nothing when no part is worth moving.
std::optional<KeyRange> choosePart(const std::vector<OwnedKeys> &Owned,
                                   double Part, double OwnLoad,
                                   const KeyLoads &Loads, TimePoint Now);

/// About half of what \p Owned carries, for an instance that has nothing: by
/// load when there is any, by count otherwise.
std::optional<KeyRange> halfOf(const std::vector<OwnedKeys> &Owned,
                               const KeyLoads &Loads, TimePoint Now);

} // namespace hemlockspar
