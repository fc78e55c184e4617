#include "coordination/SlotGate.h"

#include "core/ErrorMacros.h"

#include <algorithm>

namespace hemlockspar {

bool SlotGate::tryEnter(const std::string &Keyspace, SlotIndex Slot) {
  if (this->isFrozen(Keyspace, Slot)) {
    return false;
  }
  ++this->InFlight[{Keyspace, Slot}];
  return true;
}

void SlotGate::leave(const std::string &Keyspace, SlotIndex Slot) {
  SlotKey Key{Keyspace, Slot};
  auto It = this->InFlight.find(Key);
  HS_FAIL_COND(It == this->InFlight.end());

  if (--It->second > 0) {
    return;
  }

  this->InFlight.erase(It);
  for (auto &[HandoverId, Frozen] : this->Freezes) {
    if (this->coversSlot(Frozen, Key) && Frozen.Busy > 0) {
      --Frozen.Busy;
    }
  }
}

void SlotGate::freeze(std::uint64_t HandoverId, const SlotsByKeyspace &Slots,
                      bool WaitForBusy) {
  Freeze Frozen;

  for (const auto &[Keyspace, Grants] : Slots) {
    for (const SlotGrant &Grant : Grants) {
      bool Busy = this->InFlight.contains({Keyspace, Grant.Slot});
      if (Busy && !WaitForBusy) {
        continue;
      }
      Frozen.Busy += Busy;
      Frozen.Slots[Keyspace].add(Grant);
    }
  }

  this->Freezes[HandoverId] = std::move(Frozen);
}

void SlotGate::unfreeze(std::uint64_t HandoverId) {
  this->Freezes.erase(HandoverId);
}

bool SlotGate::isFrozen(const std::string &Keyspace, SlotIndex Slot) const {
  SlotKey Key{Keyspace, Slot};
  return std::any_of(
      this->Freezes.begin(), this->Freezes.end(),
      [&](const auto &Entry) { return this->coversSlot(Entry.second, Key); });
}

std::vector<FrozenSlots> SlotGate::takeReadyFreezes() {
  std::vector<FrozenSlots> Ready;

  for (auto &[HandoverId, Frozen] : this->Freezes) {
    if (Frozen.Busy == 0 && !Frozen.Reported) {
      Frozen.Reported = true;
      Ready.push_back({HandoverId, Frozen.Slots});
    }
  }

  return Ready;
}

bool SlotGate::coversSlot(const Freeze &Frozen, const SlotKey &Slot) const {
  auto Grants = Frozen.Slots.find(Slot.first);
  return Grants != Frozen.Slots.end() &&
         Grants->second.find(Slot.second).has_value();
}

} // namespace hemlockspar
