#pragma once

#include "coordination/Messages.h"
#include "coordination/Slots.h"
#include "core/Clock.h"

#include <deque>

namespace hemlockspar {

/// Placement preference that operators declare.
enum class PlacementPreference { FewMoves, Peak };

/// Name of \p Preference as declarations show it.
const char *nameOf(PlacementPreference Preference);

/// Returns nothing when no preference has this name.
std::optional<PlacementPreference>
placementPreferenceOf(const std::string &Name);

/// Load caused by one slot, as a fraction of the backend server's capacity.
struct SlotLoad {
  std::string Keyspace;
  SlotIndex Slot = 0;
  double Utilization = 0;
};

/// Load of the balancer's own instance.
struct OwnLoad {
  LoadStatus Status;

  /// The slots that cause the most load, heaviest first.
  std::vector<SlotLoad> Busiest;
};

/// Decides which slots to hand over to a peer that reported its load. Moves
/// slots only when the difference in load exceeds a threshold, and limits the
/// moves per minute. Performs no I/O.
class SlotBalancer {
public:
  explicit SlotBalancer(PlacementPreference Preference);

  void setPreference(PlacementPreference Preference);

  /// The slots to move to the peer; empty for none. \p Owned is what this
  /// instance owns.
  SlotsByKeyspace choose(const OwnLoad &Own, const SlotsByKeyspace &Owned,
                         const LoadStatus &Peer, TimePoint Now);

private:
  struct Thresholds {
    double MinGap;
    double MinRatio;
    std::size_t MovesPerMinute;
  };

  bool withinBudget(TimePoint Now);
  SlotsByKeyspace chooseByLoad(const OwnLoad &Own, const SlotsByKeyspace &Owned,
                               const LoadStatus &Peer) const;
  SlotsByKeyspace chooseByCount(const OwnLoad &Own,
                                const SlotsByKeyspace &Owned,
                                const LoadStatus &Peer) const;

  static Thresholds thresholdsOf(PlacementPreference Preference);

  PlacementPreference Preference;
  std::deque<TimePoint> RecentMoves;
};

} // namespace hemlockspar
