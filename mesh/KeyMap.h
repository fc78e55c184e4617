#pragma once

#include "mesh/ServerReport.h"

#include <optional>
#include <string>
#include <vector>

namespace hemlockspar {

/// Who owns keys: an instance and the run of the backend server beside it.
struct KeyMapOwner {
  /// Empty when the keys have no owner.
  InstanceId Instance;
  ServerRun Run;

  auto operator<=>(const KeyMapOwner &) const = default;
};

/// Neighbouring keys with one owner.
struct KeyMapEntry {
  KeySpan Keys;
  KeyMapOwner Owner;
  FencingToken Token = 0;

  /// The state that the owner before left for this one; empty when none did.
  std::string HandoverState;
};

/// Who owns which keys of one service. Kept as one row of the store, so that
/// every change is one conditional write. Covers all keys at all times.
class KeyMap {
public:
  /// No key has an owner.
  KeyMap();

  /// The owner's entry of \p Key, at most MaxKey.
  const KeyMapEntry &find(KeyNumber Key) const;

  const std::vector<KeyMapEntry> &entries() const { return this->Entries; }

  /// Entries of \p Instance, whichever run of its backend server they name.
  std::vector<KeyMapEntry> entriesOf(const InstanceId &Instance) const;

  /// Keys of \p Instance.
  std::uint32_t keyCount(const InstanceId &Instance) const;

  /// Gives \p Keys to \p Holder under a token above all that were used.
  void assign(const KeySpan &Keys, const KeyMapOwner &Holder,
              const std::string &Handover);

  /// The row's text, and back; nothing when the text is not sound.
  std::string toText() const;
  static std::optional<KeyMap> fromText(const std::string &Text);

private:
  void splitAt(KeyNumber First);
  void mergeAdjacent();

  std::vector<KeyMapEntry> Entries;
  FencingToken LastToken = 0;
};

} // namespace hemlockspar
