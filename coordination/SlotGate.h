#pragma once

#include "coordination/Slots.h"

#include <map>
#include <vector>

namespace hemlockspar {

/// Slots that a freeze found idle and holds back.
struct FrozenSlots {
  std::uint64_t HandoverId = 0;
  SlotsByKeyspace Slots;
};

/// Counts requests in flight for each slot and holds slots back while they
/// are handed over, so that no request runs at two owners. Free of I/O.
class SlotGate {
public:
  /// Lets a request for the slot through; false while the slot is frozen.
  bool tryEnter(const std::string &Keyspace, SlotIndex Slot);

  /// A request that was let through has ended.
  void leave(const std::string &Keyspace, SlotIndex Slot);

  /// Freezes the idle ones of \p Slots, or with \p WaitForBusy all of them.
  /// takeFrozen tells when those that are frozen are idle.
  void freeze(std::uint64_t HandoverId, const SlotsByKeyspace &Slots,
              bool WaitForBusy);

  /// Lets requests for the slots of \p Handover through again.
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
