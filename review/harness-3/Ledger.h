#pragma once

#include "core/Clock.h"

#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace hemlockspar::review3 {

/// Number of keys; the keys are 0 to KeyCount - 1.
constexpr std::uint32_t KeyCount = 65536;

/// A range of keys that a backend server holds.
struct HeldRange {
  std::uint32_t First = 0;
  std::uint32_t Last = 0;
  std::uint64_t Fence = 0;
  TimePoint Until;
};

/// Writes what happens to a file, and judges the rule OWNER from what the
/// backend servers hold. Thread-safe.
class Ledger {
public:
  /// With \p Append, lines of several processes go to one file.
  explicit Ledger(const std::string &Path, bool Append = false);

  /// Writes one line with the time since the start of the machine.
  void note(const std::string &Line);

  /// \p Server holds \p Ranges from now on.
  void setHeld(const std::string &Server, const std::vector<HeldRange> &Ranges);

  /// Looks for keys that two servers hold at this moment; to be called often.
  void sample();

  /// Keys that were taken under a fence number that is not above those with
  /// which other servers had them.
  std::uint32_t keysWithLowFence() const;

  /// The longest time for which two servers held the same key.
  Duration longestOverlap() const;

private:
  void noteLocked(const std::string &Line);
  bool checkFences(const std::string &Server, const HeldRange &Taken);

  struct Holder {
    std::uint64_t Fence = 0;
    std::string Server;
  };

  mutable std::mutex Mutex;
  std::ofstream File;
  std::map<std::string, std::vector<HeldRange>> Held;

  /// For each key the highest fence number, and the server that had it.
  std::vector<Holder> Highest = std::vector<Holder>(KeyCount);
  std::vector<bool> LowFence = std::vector<bool>(KeyCount);

  /// Since when two servers have held the key, for sampled keys.
  std::map<std::uint32_t, TimePoint> OverlapSince;
  Duration Longest{};
};

} // namespace hemlockspar::review3
