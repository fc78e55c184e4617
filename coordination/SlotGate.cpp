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
  auto Place = this->InFlight.find(Key);
  HS_FAIL_COND(Place == this->InFlight.end());

  if (--Place->second > 0) {
    return;
  }

  this->InFlight.erase(Place);
  for (auto &[Handover, Held] : this->Freezes) {
    if (this->coversSlot(Held, Key) && Held.Busy > 0) {
      --Held.Busy;
    }
  }
}

void SlotGate::freeze(std::uint64_t Handover, const SlotsByKeyspace &Slots,
                      bool WaitForBusy) {
  Freeze Held;

  for (const auto &[Keyspace, Grants] : Slots) {
    for (const SlotGrant &Grant : Grants) {
      bool Busy = this->InFlight.contains({Keyspace, Grant.Slot});
      if (Busy && !WaitForBusy) {
        continue;
      }
      Held.Busy += Busy;
      Held.Slots[Keyspace].add(Grant);
    }
  }

  this->Freezes[Handover] = std::move(Held);
}

void SlotGate::unfreeze(std::uint64_t Handover) {
  this->Freezes.erase(Handover);
}

bool SlotGate::isFrozen(const std::string &Keyspace, SlotIndex Slot) const {
  SlotKey Key{Keyspace, Slot};
  return std::any_of(
      this->Freezes.begin(), this->Freezes.end(),
      [&](const auto &Entry) { return this->coversSlot(Entry.second, Key); });
}

std::vector<FrozenSlots> SlotGate::takeReadyFreezes() {
  std::vector<FrozenSlots> Ready;

  for (auto &[Handover, Held] : this->Freezes) {
    if (Held.Busy == 0 && !Held.Reported) {
      Held.Reported = true;
      Ready.push_back({Handover, Held.Slots});
    }
  }

  return Ready;
}

bool SlotGate::coversSlot(const Freeze &Held, const SlotKey &Slot) const {
  auto Grants = Held.Slots.find(Slot.first);
  return Grants != Held.Slots.end() &&
         Grants->second.find(Slot.second).has_value();
}

} // namespace hemlockspar
