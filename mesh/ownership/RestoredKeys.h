#pragma once

#include "core/Clock.h"
#include "mesh/KeyMap.h"

#include <algorithm>

namespace hemlockspar {

/// Decides which keys an instance may grant after the store has been restored
/// from a copy. The key map may be older than handovers and takeovers that are
/// lost, so other instances may hold keys that it assigns to this one. Until
/// the map has been confirmed, an instance grants only what it granted before
/// and has held a lease for ever since. The map is confirmed by writing it
/// under new tokens, once all leases of before have ended. Free of I/O.
class RestoredKeys {
public:
  /// Longest time for which a lease is valid after the store was restored, with
  /// a margin for clocks.
  static constexpr Duration LeaseEnd = std::chrono::milliseconds(9000);

  /// Takes the present state: the era of the key map, whether the map has been
  /// confirmed in it, the entries \p Own that are assigned here and not being
  /// handed over, and whether this instance holds its lease.
  void observe(std::uint64_t Era, bool Confirmed,
               const std::vector<KeyMapEntry> &Own, bool LeaseHeld,
               TimePoint Now);

  /// Whether \p Era has been observed.
  bool knows(std::uint64_t Era) const {
    return this->KnownEra && *this->KnownEra >= Era;
  }

  /// The parts of \p Own that may be granted before the map is confirmed.
  std::vector<KeyMapEntry>
  grantedBefore(const std::vector<KeyMapEntry> &Own) const;

  /// Time until no grant of an earlier era can be in force; zero from then on.
  Duration timeUntilLeasesEnd(TimePoint Now) const {
    return this->KnownEra ? std::max<Duration>(this->EraSeenAt + LeaseEnd - Now,
                                               Duration::zero())
                          : LeaseEnd;
  }

  /// Whether an earlier era was observed.
  bool hasSeenRestoration() const { return this->SeenRestoration; }

private:
  std::optional<std::uint64_t> KnownEra;
  TimePoint EraSeenAt;
  bool SeenRestoration = false;

  /// Granted as of the last observation.
  std::vector<KeyMapEntry> Granted;

  /// Granted before the restoration, under a lease that has been held since.
  std::vector<KeyMapEntry> Kept;
};

} // namespace hemlockspar
