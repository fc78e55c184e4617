#pragma once

#include "mesh/KeyLoads.h"
#include "mesh/KeyMap.h"

#include <set>

namespace hemlockspar {

/// A backend server that may receive keys.
struct OwnerCandidate {
  KeyMapOwner Owner;

  /// Share of its slots that are busy, from 0 to 1; above 1 when requests wait.
  double Load = 0;
};

/// Keys to be handed over to another instance.
struct PlannedHandover {
  KeyRange Keys;
  KeyMapOwner Receiver;
};

/// The initial layout: adjacent keys in equal parts, since nothing is known
/// about the load yet. \p Candidates must not be empty.
KeyMap initialLayout(const std::vector<OwnerCandidate> &Candidates);

/// Distributes \p Ranges over \p Candidates so that their key counts come out
/// about equal. Used when a backend server is lost or leaves. \p Candidates
/// must not be empty.
std::vector<PlannedHandover>
distributeEvenly(const KeyMap &Map, const std::vector<KeyRange> &Ranges,
                 const std::vector<OwnerCandidate> &Candidates);

/// Chooses the instance to which the owner \p Self should offer keys now, if
/// any. There are two reasons for an offer: a backend server has joined and
/// owns nothing (the most loaded owners offer it a part), or hot keys keep one
/// owner much busier than another. \p Candidates includes Self, with the loads
/// of all as far as known; those in \p Excluded are not considered. \p OwnLoad
/// is the load that Self keeps after the handovers under way.
std::optional<OwnerCandidate>
chooseReceiver(const KeyMap &Map, const KeyMapOwner &Self,
               const std::vector<OwnerCandidate> &Candidates,
               const std::set<InstanceId> &Excluded, double OwnLoad);

/// Selects the keys of \p Owned to hand to a receiver that accepts
/// \p AcceptedLoad of the giver's load \p OwnLoad; nothing when no range is
/// worth moving.
std::optional<KeyRange> selectKeysByLoad(const std::vector<KeyMapEntry> &Owned,
                                         double AcceptedLoad, double OwnLoad,
                                         const KeyLoads &Loads, TimePoint Now);

/// Selects about half of the busiest entry of \p Owned, for an instance that
/// owns nothing: by load when there is any, by count otherwise.
std::optional<KeyRange> selectHalf(const std::vector<KeyMapEntry> &Owned,
                                   const KeyLoads &Loads, TimePoint Now);

} // namespace hemlockspar
