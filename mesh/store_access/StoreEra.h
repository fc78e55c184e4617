#pragma once

#include "coordination/Identity.h"

namespace hemlockspar {

/// A version of the store, which gives out versions again after it has been
/// restored from a copy. Its era rises each time, so that the row version of a
/// StoreVersion is higher than all of earlier eras.
struct StoreVersion {
  /// Largest values that a row version can hold.
  static constexpr unsigned NumberBits = 40;
  static constexpr std::uint64_t MaxNumber = (1ULL << NumberBits) - 1;
  static constexpr std::uint64_t MaxEra = (1ULL << (63 - NumberBits)) - 1;

  std::uint64_t Era = 0;
  std::uint64_t Number = 0;

  static StoreVersion of(RowVersion Version) {
    return {Version >> NumberBits, Version & MaxNumber};
  }

  RowVersion rowVersion() const {
    return this->Era << NumberBits | this->Number;
  }
};

/// The era of the store in which \p Version was given out.
inline std::uint64_t eraOf(RowVersion Version) {
  return StoreVersion::of(Version).Era;
}

} // namespace hemlockspar
