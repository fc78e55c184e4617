#pragma once

#include "mesh/ServerReport.h"

#include <optional>
#include <string>
#include <vector>

namespace hemlockspar {

/// Owner of keys: an instance and the incarnation of its backend server.
struct KeyMapOwner {
  /// Empty when the keys have no owner.
  InstanceId Instance;
  ServerIncarnation Incarnation;

  auto operator<=>(const KeyMapOwner &) const = default;
};

/// Contiguous range of keys with one owner.
struct KeyMapEntry {
  KeyRange Keys;
  KeyMapOwner Owner;
  FencingToken Token = 0;

  /// State that the previous owner left for this one; empty when there is none.
  std::string HandoverState;
};

/// Owners of the keys of one service. Stored as one row, so that every change
/// is one conditional write. Covers all keys at all times.
class KeyMap {
public:
  /// Creates a map in which no key has an owner.
  KeyMap();

  /// Entry that contains \p Key, which must be at most MaxKey.
  const KeyMapEntry &find(KeyNumber Key) const;

  const std::vector<KeyMapEntry> &entries() const { return this->Entries; }

  /// Entries owned by \p Instance, under any incarnation of its backend server.
  std::vector<KeyMapEntry> entriesOf(const InstanceId &Instance) const;

  /// Number of keys owned by \p Instance.
  std::uint32_t keyCount(const InstanceId &Instance) const;

  /// Assigns \p Keys to \p Owner under a token higher than all that were used
  /// before.
  void assign(const KeyRange &Keys, const KeyMapOwner &Owner,
              const std::string &HandoverState);

  /// Assigns all keys to their present owners under a token higher than any of
  /// an earlier era of the store, and sets the era.
  void confirmIn(std::uint64_t StoreEra);

  /// The era of the store in which the map was written; empty for a map of a
  /// store without eras.
  const std::optional<std::uint64_t> &era() const { return this->Era; }
  void setEra(std::uint64_t StoreEra) { this->Era = StoreEra; }

  /// Converts to and from the row's text; fromText returns nothing when the
  /// text is malformed.
  std::string toText() const;
  static std::optional<KeyMap> fromText(const std::string &Text);

private:
  void splitAt(KeyNumber First);
  void mergeAdjacent();

  std::vector<KeyMapEntry> Entries;
  FencingToken LastToken = 0;
  std::optional<std::uint64_t> Era;
};

} // namespace hemlockspar
