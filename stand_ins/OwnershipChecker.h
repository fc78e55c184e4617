#pragma once

#include "core/Clock.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace hemlockspar {

/// Keys that a backend server holds, under a token, until a moment.
struct HeldKeyRange {
  std::uint32_t From = 0;
  std::uint32_t To = 0;
  std::uint64_t Token = 0;
  TimePoint Until;
};

/// Keys are numbers below this.
constexpr std::uint32_t KeyCount = 65536;

/// Sees what the stand-ins of backend servers take and let go of, in the order
/// in which they do, and notes each breach of the promise that a key has one
/// holder under rising tokens. Calls may come from any thread.
class OwnershipChecker {
public:
  /// \p Server holds \p Keys from now on, and nothing else.
  void setHeldKeys(const std::string &Server,
                   const std::vector<HeldKeyRange> &Keys);

  /// What was broken, a line each.
  std::vector<std::string> violations() const;

  /// How often keys were taken anew.
  int acquisitions() const;

private:
  void checkOverlap(const std::string &Server, const HeldKeyRange &Taken,
                    TimePoint Now);
  void checkTokens(const std::string &Server, const HeldKeyRange &Taken);
  bool alreadyHeld(const std::string &Server, const HeldKeyRange &Taken) const;

  mutable std::mutex Mutex;
  std::map<std::string, std::vector<HeldKeyRange>> Held;

  /// The highest token that anybody had for each key, and who.
  struct LastHolder {
    std::uint64_t Token = 0;
    std::string Server;
  };
  std::vector<LastHolder> LastHolderByKey = std::vector<LastHolder>(KeyCount);

  std::vector<std::string> Violations;
  int Acquisitions = 0;
};

} // namespace hemlockspar
