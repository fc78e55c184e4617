#pragma once

#include "core/Clock.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace hemlockspar {

/// Keys that a backend server holds, under a token, until a moment.
struct HeldKeys {
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
class HoldLedger {
public:
  /// \p Server holds \p Keys from now on, and nothing else.
  void replace(const std::string &Server, const std::vector<HeldKeys> &Keys);

  /// What was broken, a line each.
  std::vector<std::string> breaches() const;

  /// How often keys were taken anew.
  int takes() const;

private:
  void checkOthers(const std::string &Server, const HeldKeys &Taken,
                   TimePoint Now);
  void checkTokens(const std::string &Server, const HeldKeys &Taken);
  bool heldBefore(const std::string &Server, const HeldKeys &Taken) const;

  mutable std::mutex Guard;
  std::map<std::string, std::vector<HeldKeys>> Held;

  /// The highest token that anybody had for each key, and who.
  struct Mark {
    std::uint64_t Token = 0;
    std::string Server;
  };
  std::vector<Mark> Highest = std::vector<Mark>(KeyCount);

  std::vector<std::string> Breaches;
  int Takes = 0;
};

} // namespace hemlockspar
