#pragma once

#include "mesh/KeyPlanner.h"

namespace hemlockspar {

/// Distributes \p Ranges, whose loads are \p Loads in slots, over \p Candidates
/// so that each receives about what its spare capacity can serve. Answers the
/// load pattern of a data centre that is emptied under load: all its owners
/// hand over everything within seconds, and receivers chosen by their number of
/// keys would be overloaded while others have room. \p Slots is the number of
/// slots of a receiver. \p Candidates must not be empty. Performs no I/O.
std::vector<PlannedHandover> distributeBySpareCapacity(
    const KeyMap &Map, const std::vector<KeyRange> &Ranges,
    const std::vector<OwnerCandidate> &Candidates, const KeyLoads &Loads,
    std::uint32_t Slots, TimePoint Now);

} // namespace hemlockspar
