#include "coordination/Slots.h"

#include "core/Hash.h"

#include <algorithm>

namespace hemlockspar {

namespace {

constexpr SlotIndex MaxSlotCount = 65536;

bool slotBefore(const SlotGrant &Grant, SlotIndex Slot) {
  return Grant.Slot < Slot;
}

Json::Value rangeToJson(SlotIndex First, SlotIndex Count, FencingToken Token) {
  Json::Value Range(Json::arrayValue);
  Range.append(First);
  Range.append(Count);
  Range.append(Json::UInt64(Token));
  return Range;
}

bool isRange(const Json::Value &Range) {
  return Range.isArray() && Range.size() == 3 && Range[0].isUInt() &&
         Range[1].isUInt() && Range[2].isUInt64() &&
         Range[0].asUInt() <= MaxSlotCount && Range[1].asUInt() <= MaxSlotCount;
}

} // namespace

void SlotGrants::add(SlotGrant Grant) {
  auto It = std::lower_bound(this->Grants.begin(), this->Grants.end(),
                             Grant.Slot, slotBefore);

  if (It != this->Grants.end() && It->Slot == Grant.Slot) {
    It->Token = std::max(It->Token, Grant.Token);
    return;
  }

  this->Grants.insert(It, Grant);
}

void SlotGrants::addRange(SlotIndex First, SlotIndex Count,
                          FencingToken Token) {
  for (SlotIndex Offset = 0; Offset < Count; ++Offset) {
    this->add({First + Offset, Token});
  }
}

std::optional<FencingToken> SlotGrants::remove(SlotIndex Slot) {
  auto It = std::lower_bound(this->Grants.begin(), this->Grants.end(), Slot,
                             slotBefore);

  if (It == this->Grants.end() || It->Slot != Slot) {
    return std::nullopt;
  }

  FencingToken Token = It->Token;
  this->Grants.erase(It);
  return Token;
}

std::optional<FencingToken> SlotGrants::find(SlotIndex Slot) const {
  auto It = std::lower_bound(this->Grants.begin(), this->Grants.end(), Slot,
                             slotBefore);

  if (It == this->Grants.end() || It->Slot != Slot) {
    return std::nullopt;
  }

  return It->Token;
}

Json::Value SlotGrants::toJson() const {
  Json::Value Ranges(Json::arrayValue);
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

    Ranges.append(rangeToJson(First.Slot, Count, First.Token));
    Start = Next;
  }

  return Ranges;
}

std::optional<SlotGrants> SlotGrants::fromJson(const Json::Value &Value) {
  if (!Value.isArray()) {
    return std::nullopt;
  }

  SlotGrants Result;

  for (const Json::Value &Range : Value) {
    if (!isRange(Range)) {
      return std::nullopt;
    }
    Result.addRange(Range[0].asUInt(), Range[1].asUInt(), Range[2].asUInt64());
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
