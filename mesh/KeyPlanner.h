#pragma once

#include "mesh/KeyLoads.h"
#include "mesh/KeyMap.h"

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
  KeySpan Keys;
  KeyHolder To;
};

/// The first layout: neighbouring keys in equal parts, since nothing is known
/// of the load yet. \p Members must not be empty.
KeyMap firstLayout(const std::vector<KeyMember> &Members);

/// Spreads \p Spans over \p Members so that all come near the same number of
/// keys; answers the loss or leaving of a backend server. \p Members must not
/// be empty.
std::vector<PlannedGift> spread(const KeyMap &Map,
                                const std::vector<KeySpan> &Spans,
                                const std::vector<KeyMember> &Members);

/// What the owner \p Self gives away now, if anything. Answers two loads: a
/// backend server that has joined and owns nothing (the most loaded owners
/// give it half of what they carry), and hot keys that keep one owner much
/// busier than another. \p Members holds Self, with the loads of all.
std::optional<PlannedGift> planGift(const KeyMap &Map, const KeyHolder &Self,
                                    const std::vector<KeyMember> &Members,
                                    const KeyLoads &Own, TimePoint Now);

} // namespace hemlockspar
