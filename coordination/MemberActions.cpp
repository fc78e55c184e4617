#include "coordination/MemberActions.h"

#include "core/EnumNames.h"

namespace hemlockspar {

namespace {

constexpr std::array<const char *, 13> PlacementEventNames = {
    "joined",           "lease_adopted", "lease_forgotten", "witnesses_changed",
    "campaign_started", "takeover_won",  "takeover_failed", "slots_claimed",
    "handover_started", "handover_done", "handover_failed", "released",
    "superseded"};

} // namespace

const char *nameOf(PlacementEvent Event) {
  return enumName(PlacementEventNames, Event);
}

} // namespace hemlockspar
