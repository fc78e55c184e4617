#pragma once

#include "coordination/Identity.h"

#include <json/value.h>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockspar {

/// One owned slot and its fencing token.
struct SlotGrant {
  SlotIndex Slot = 0;
  FencingToken Token = 0;

  bool operator==(const SlotGrant &) const = default;
};

/// Slots of one key space with their tokens, ordered by slot.
class SlotGrants {
public:
  std::size_t size() const { return this->Grants.size(); }
  bool empty() const { return this->Grants.empty(); }
  auto begin() const { return this->Grants.begin(); }
  auto end() const { return this->Grants.end(); }

  bool operator==(const SlotGrants &) const = default;

  /// Adds a slot, or raises the token of one that is already present.
  void add(SlotGrant Grant);

  /// Adds \p Count slots from \p First, all with \p Token.
  void addRange(SlotIndex First, SlotIndex Count, FencingToken Token);

  /// Removes a slot; returns the token it had.
  std::optional<FencingToken> remove(SlotIndex Slot);

  /// The token of \p Slot, or nothing when it is not present.
  std::optional<FencingToken> find(SlotIndex Slot) const;

  /// JSON array of slot ranges: [[first, count, token], ...].
  Json::Value toJson() const;

  /// Parses the output of toJson. Returns nothing when \p Value is malformed.
  static std::optional<SlotGrants> fromJson(const Json::Value &Value);

private:
  std::vector<SlotGrant> Grants;
};

/// Slots by name of their key space.
using SlotsByKeyspace = std::map<std::string, SlotGrants>;

/// Number of slots over all key spaces.
std::size_t countSlots(const SlotsByKeyspace &Slots);

/// The slot of \p Key in a key space of \p SlotCount slots. The same on every
/// daemon and in every version.
SlotIndex slotOfKey(std::string_view Key, SlotIndex SlotCount);

Json::Value slotsToJson(const SlotsByKeyspace &Slots);
std::optional<SlotsByKeyspace> slotsFromJson(const Json::Value &Value);

} // namespace hemlockspar
