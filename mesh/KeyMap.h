#pragma once

#include "mesh/ServerReport.h"

#include <optional>
#include <string>
#include <vector>

namespace hemlockspar {

/// Who owns keys: an instance and the run of the backend server beside it.
struct KeyHolder {
  /// Empty when the keys have no owner.
  InstanceId Instance;
  ServerIncarnation Run;

  auto operator<=>(const KeyHolder &) const = default;
};

/// Neighbouring keys with one owner.
struct OwnedKeys {
  KeyRange Keys;
  KeyHolder Holder;
  FencingToken Token = 0;

  /// The state that the owner before left for this one; empty when none did.
  std::string Handover;
};

/// Who owns which keys of one service. Kept as one row of the store, so that
/// every change is one conditional write. Covers all keys at all times.
class KeyMap {
public:
  /// No key has an owner.
  KeyMap();

  /// The owner's entry of \p Key, at most MaxKey.
  const OwnedKeys &find(KeyNumber Key) const;

  const std::vector<OwnedKeys> &entries() const { return this->Entries; }

  /// Entries of \p Instance, whichever run of its backend server they name.
  std::vector<OwnedKeys> ownedBy(const InstanceId &Instance) const;

  /// Keys of \p Instance.
  std::uint32_t countOf(const InstanceId &Instance) const;

  /// Gives \p Keys to \p Holder under a token above all that were used.
  void assign(const KeyRange &Keys, const KeyHolder &Holder,
              const std::string &Handover);

  /// The row's text, and back; nothing when the text is not sound.
  std::string toText() const;
  static std::optional<KeyMap> fromText(const std::string &Text);

private:
  void cutAt(KeyNumber First);
  void join();

  std::vector<OwnedKeys> Entries;
  FencingToken LastToken = 0;
};

} // namespace hemlockspar
