#include "coordination/Slots.h"

#include "core/Hash.h"

#include <algorithm>

namespace hemlockspar {

namespace {

constexpr SlotIndex MaxSlotCount = 65536;

bool slotBefore(const SlotGrant &Grant, SlotIndex Slot) {
  return Grant.Slot < Slot;
}

Json::Value runToJson(SlotIndex First, SlotIndex Count, FencingToken Token) {
  Json::Value Run(Json::arrayValue);
  Run.append(First);
  Run.append(Count);
  Run.append(Json::UInt64(Token));
  return Run;
}

bool isRun(const Json::Value &Run) {
  return Run.isArray() && Run.size() == 3 && Run[0].isUInt() &&
         Run[1].isUInt() && Run[2].isUInt64() &&
         Run[0].asUInt() <= MaxSlotCount && Run[1].asUInt() <= MaxSlotCount;
}

} // namespace

void SlotGrants::add(SlotGrant Grant) {
  auto Place = std::lower_bound(this->Grants.begin(), this->Grants.end(),
                                Grant.Slot, slotBefore);

  if (Place != this->Grants.end() && Place->Slot == Grant.Slot) {
    Place->Token = std::max(Place->Token, Grant.Token);
    return;
  }

  this->Grants.insert(Place, Grant);
}

void SlotGrants::addRange(SlotIndex First, SlotIndex Count,
                          FencingToken Token) {
  for (SlotIndex Offset = 0; Offset < Count; ++Offset) {
    this->add({First + Offset, Token});
  }
}

std::optional<FencingToken> SlotGrants::remove(SlotIndex Slot) {
  auto Place = std::lower_bound(this->Grants.begin(), this->Grants.end(), Slot,
                                slotBefore);

  if (Place == this->Grants.end() || Place->Slot != Slot) {
    return std::nullopt;
  }

  FencingToken Token = Place->Token;
  this->Grants.erase(Place);
  return Token;
}

std::optional<FencingToken> SlotGrants::find(SlotIndex Slot) const {
  auto Place = std::lower_bound(this->Grants.begin(), this->Grants.end(), Slot,
                                slotBefore);

  if (Place == this->Grants.end() || Place->Slot != Slot) {
    return std::nullopt;
  }

  return Place->Token;
}

Json::Value SlotGrants::toJson() const {
  Json::Value Runs(Json::arrayValue);
  std::size_t Start = 0;

  for (std::size_t Next = 1; Next <= this->Grants.size(); ++Next) {
    const SlotGrant &First = this->Grants[Start];
    auto Count = static_cast<SlotIndex>(Next - Start);

    bool Continues = Next < this->Grants.size() &&
                     this->Grants[Next].Slot == First.Slot + Count &&
                     this->Grants[Next].Token == First.Token;
    if (Continues) {
      continue;
    }

    Runs.append(runToJson(First.Slot, Count, First.Token));
    Start = Next;
  }

  return Runs;
}

std::optional<SlotGrants> SlotGrants::fromJson(const Json::Value &Value) {
  if (!Value.isArray()) {
    return std::nullopt;
  }

  SlotGrants Result;

  for (const Json::Value &Run : Value) {
    if (!isRun(Run)) {
      return std::nullopt;
    }
    Result.addRange(Run[0].asUInt(), Run[1].asUInt(), Run[2].asUInt64());
  }

  return Result;
}

std::size_t countSlots(const SlotsByKeyspace &Slots) {
  std::size_t Count = 0;
  for (const auto &[Keyspace, Grants] : Slots) {
    Count += Grants.size();
  }
  return Count;
}

SlotIndex slotOfKey(std::string_view Key, SlotIndex SlotCount) {
  return static_cast<SlotIndex>(stableHash(Key) % SlotCount);
}

Json::Value slotsToJson(const SlotsByKeyspace &Slots) {
  Json::Value Value(Json::objectValue);
  for (const auto &[Keyspace, Grants] : Slots) {
    if (!Grants.empty()) {
      Value[Keyspace] = Grants.toJson();
    }
  }
  return Value;
}

std::optional<SlotsByKeyspace> slotsFromJson(const Json::Value &Value) {
  SlotsByKeyspace Slots;

  if (Value.isNull()) {
    return Slots;
  }
  if (!Value.isObject()) {
    return std::nullopt;
  }

  for (const std::string &Keyspace : Value.getMemberNames()) {
    auto Grants = SlotGrants::fromJson(Value[Keyspace]);
    if (!Grants) {
      return std::nullopt;
    }
    Slots[Keyspace] = *Grants;
  }

  return Slots;
}

} // namespace hemlockspar
