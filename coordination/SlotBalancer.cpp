#include "coordination/SlotBalancer.h"

#include "core/EnumNames.h"

#include <algorithm>

namespace hemlockspar {

namespace {

constexpr std::array<const char *, 2> PreferenceNames = {"few_moves", "peak"};

/// When both instances are below this utilization, slot counts are compared
/// instead of load.
constexpr double IdleUtilization = 0.05;

/// Tolerated deviation of the slot count per capacity from the mean, as a
/// fraction of the mean.
constexpr double CountTolerance = 0.25;

constexpr auto BudgetWindow = std::chrono::minutes(1);

double perCapacity(std::uint32_t Slots, std::uint32_t Capacity) {
  return static_cast<double>(Slots) / std::max<std::uint32_t>(Capacity, 1);
}

} // namespace

const char *nameOf(PlacementPreference Preference) {
  return enumName(PreferenceNames, Preference);
}

std::optional<PlacementPreference>
placementPreferenceOf(const std::string &Name) {
  return enumFromName<PlacementPreference>(PreferenceNames, Name);
}

SlotBalancer::SlotBalancer(PlacementPreference Preference)
    : Preference(Preference) {}

void SlotBalancer::setPreference(PlacementPreference Preference) {
  this->Preference = Preference;
}

SlotBalancer::Thresholds
SlotBalancer::thresholdsOf(PlacementPreference Preference) {
  switch (Preference) {
  case PlacementPreference::FewMoves:
    return {.MinGap = 0.30, .MinRatio = 1.6, .MovesPerMinute = 2};
  case PlacementPreference::Peak:
    return {.MinGap = 0.10, .MinRatio = 1.2, .MovesPerMinute = 12};
  }
  return {.MinGap = 1, .MinRatio = 2, .MovesPerMinute = 0};
}

bool SlotBalancer::withinBudget(TimePoint Now) {
  while (!this->RecentMoves.empty() &&
         Now - this->RecentMoves.front() > BudgetWindow) {
    this->RecentMoves.pop_front();
  }
  return this->RecentMoves.size() <
         thresholdsOf(this->Preference).MovesPerMinute;
}

SlotsByKeyspace SlotBalancer::choose(const OwnLoad &Own,
                                     const SlotsByKeyspace &Owned,
                                     const LoadStatus &Peer, TimePoint Now) {
  if (!Peer.Accepting || !this->withinBudget(Now)) {
    return {};
  }

  bool Idle = Own.Status.Utilization < IdleUtilization &&
              Peer.Utilization < IdleUtilization;
  SlotsByKeyspace Chosen = Idle ? this->chooseByCount(Own, Owned, Peer)
                                : this->chooseByLoad(Own, Owned, Peer);

  if (!Chosen.empty()) {
    this->RecentMoves.push_back(Now);
  }
  return Chosen;
}

SlotsByKeyspace SlotBalancer::chooseByLoad(const OwnLoad &Own,
                                           const SlotsByKeyspace &Owned,
                                           const LoadStatus &Peer) const {
  Thresholds Limits = thresholdsOf(this->Preference);
  double Gap = Own.Status.Utilization - Peer.Utilization;
  bool WorthMoving =
      Gap >= Limits.MinGap &&
      Own.Status.Utilization >= Limits.MinRatio * Peer.Utilization;
  if (!WorthMoving) {
    return {};
  }

  // Moving a slot that alone exceeds half the gap would only move the peak to
  // the peer; lighter slots are moved instead.
  double Budget = Gap / 2;
  SlotsByKeyspace Chosen;

  for (const SlotLoad &Load : Own.Busiest) {
    auto Grants = Owned.find(Load.Keyspace);
    bool StillOwned =
        Grants != Owned.end() && Grants->second.find(Load.Slot).has_value();
    if (!StillOwned || Load.Utilization > Budget || Load.Utilization <= 0) {
      continue;
    }

    Budget -= Load.Utilization;
    Chosen[Load.Keyspace].add({Load.Slot, *Grants->second.find(Load.Slot)});
  }

  return Chosen;
}

SlotsByKeyspace SlotBalancer::chooseByCount(const OwnLoad &Own,
                                            const SlotsByKeyspace &Owned,
                                            const LoadStatus &Peer) const {
  double OwnShare = perCapacity(Own.Status.SlotCount, Own.Status.Capacity);
  double PeerShare = perCapacity(Peer.SlotCount, Peer.Capacity);
  double Mean = (OwnShare + PeerShare) / 2;
  if (OwnShare - PeerShare <= 2 * CountTolerance * Mean) {
    return {};
  }

  auto Surplus =
      static_cast<std::size_t>((OwnShare - Mean) * Own.Status.Capacity);
  SlotsByKeyspace Chosen;

  // Takes the same fraction of every key space.
  for (const auto &[Keyspace, Grants] : Owned) {
    std::size_t Take = Surplus * Grants.size() /
                       std::max<std::size_t>(Own.Status.SlotCount, 1);
    for (const SlotGrant &Grant : Grants) {
      if (Take == 0) {
        break;
      }
      Chosen[Keyspace].add(Grant);
      --Take;
    }
  }

  return Chosen;
}

} // namespace hemlockspar
