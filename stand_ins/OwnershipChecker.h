#pragma once

#include "core/Clock.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace hemlockspar {

/// Range of keys that a backend server holds under a fencing token until a
/// point in time.
struct HeldKeyRange {
  std::uint32_t From = 0;
  std::uint32_t To = 0;
  std::uint64_t Token = 0;
  TimePoint Until;
};

/// Keys are the numbers from 0 to KeyCount - 1.
constexpr std::uint32_t KeyCount = 65536;

/// Checks that each key has at most one holder at a time and that its fencing
/// tokens increase from holder to holder. Fake backend servers report each
/// change of their keys here, in order. Thread-safe.
class OwnershipChecker {
public:
  /// Replaces the keys that \p Server holds with \p Keys.
  void setHeldKeys(const std::string &Server,
                   const std::vector<HeldKeyRange> &Keys);

  /// One line for each violation.
  std::vector<std::string> violations() const;

  /// Number of key ranges that were newly acquired.
  int acquisitions() const;

private:
  void checkOverlap(const std::string &Server, const HeldKeyRange &Acquired,
                    TimePoint Now);
  void checkTokens(const std::string &Server, const HeldKeyRange &Acquired);
  bool alreadyHeld(const std::string &Server,
                   const HeldKeyRange &Acquired) const;

  mutable std::mutex Mutex;
  std::map<std::string, std::vector<HeldKeyRange>> Held;

  /// The highest token seen for a key, and the server that held it.
  struct LastHolder {
    std::uint64_t Token = 0;
    std::string Server;
  };
  std::vector<LastHolder> LastHolderByKey = std::vector<LastHolder>(KeyCount);

  std::vector<std::string> Violations;
  int Acquisitions = 0;
};

} // namespace hemlockspar
