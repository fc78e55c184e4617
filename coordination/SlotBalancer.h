#pragma once

#include "coordination/Messages.h"
#include "coordination/Slots.h"
#include "core/Clock.h"

#include <deque>

namespace hemlockspar {

/// What operators prefer of placement.
enum class PlacementPreference { FewMoves, Peak };

/// Name of \p Preference as declarations show it.
const char *nameOf(PlacementPreference Preference);

/// Reads a name; nothing when there is no such preference.
std::optional<PlacementPreference>
placementPreferenceOf(const std::string &Name);

/// Load that one slot brings, as a share of the backend server's capacity.
struct SlotLoad {
  std::string Keyspace;
  SlotIndex Slot = 0;
  double Utilization = 0;
};

/// What the balancer knows of its own instance.
struct OwnLoad {
  LoadStatus Status;

  /// The slots that bring the most load, heaviest first.
  std::vector<SlotLoad> Busiest;
};

/// Decides which slots to hand to a peer that was asked for its load. Moves
/// must pay: the gap has to pass a threshold, and moves a minute are bounded.
/// Free of I/O.
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
