#pragma once

#include "coordination/Slots.h"

#include <map>
#include <vector>

namespace hemlockspar {

/// Frozen slots of a handover that have no request in flight.
struct FrozenSlots {
  std::uint64_t HandoverId = 0;
  SlotsByKeyspace Slots;
};

/// Counts the requests in flight per slot and blocks slots while they are
/// handed over, so that requests for a slot never run at two owners. Performs
/// no I/O.
class SlotGate {
public:
  /// Admits a request for the slot and counts it. Returns false while the slot
  /// is frozen.
  bool tryEnter(const std::string &Keyspace, SlotIndex Slot);

  /// An admitted request has ended.
  void leave(const std::string &Keyspace, SlotIndex Slot);

  /// Freezes the idle slots of \p Slots, or with \p WaitForBusy all of them.
  /// takeReadyFreezes reports when all the frozen slots are idle.
  void freeze(std::uint64_t HandoverId, const SlotsByKeyspace &Slots,
              bool WaitForBusy);

  /// Admits requests for the slots of the handover again.
  void unfreeze(std::uint64_t HandoverId);

  bool isFrozen(const std::string &Keyspace, SlotIndex Slot) const;

  /// Freezes that have become idle since the last call.
  std::vector<FrozenSlots> takeReadyFreezes();

private:
  using SlotKey = std::pair<std::string, SlotIndex>;

  struct Freeze {
    SlotsByKeyspace Slots;
    std::size_t Busy = 0;
    bool Reported = false;
  };

  bool coversSlot(const Freeze &Frozen, const SlotKey &Slot) const;

  std::map<SlotKey, std::size_t> InFlight;
  std::map<std::uint64_t, Freeze> Freezes;
};

} // namespace hemlockspar
