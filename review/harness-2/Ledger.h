#pragma once

#include "review/harness-2/Record.h"

#include <cstdint>
#include <map>
#include <vector>

namespace review {

/// Keys that a backend server holds under a fence number.
struct HeldRange {
  std::uint32_t From = 0;
  std::uint32_t To = 0;
  std::uint64_t Fence = 0;
  Clock::time_point Until;

  /// The grant that gave or renewed it arrived within the slack after its
  /// sender's links healed, so it does not count.
  bool Excused = false;
};

/// Checks the rule OWNER from what the backend servers hold: no two of them
/// hold the same key for more than half a second, and a key is taken only with
/// a fence number above all with which others had it. Thread-safe.
class Ledger {
public:
  explicit Ledger(Record &Out) : Out(Out) {}

  /// The keys that \p Server holds from now on.
  void update(const std::string &Server, const std::vector<HeldRange> &Held);

  /// Looks for keys with two holders. Called every few milliseconds.
  void sample();

  /// Grants to \p Server that arrive before \p Until do not count.
  void excuse(const std::string &Server, Clock::time_point Until);
  bool isExcused(const std::string &Server) const;

  int overlaps() const;
  int fenceFaults() const;

private:
  using Pair = std::pair<std::string, std::string>;

  struct Overlap {
    Clock::time_point Since;
    bool Reported = false;
  };

  void checkFences(const std::string &Server,
                   const std::vector<HeldRange> &Held);

  Record &Out;
  mutable std::mutex Mutex;
  std::map<std::string, std::vector<HeldRange>> Holders;
  std::map<std::string, std::vector<std::uint64_t>> Fences;
  std::map<std::string, Clock::time_point> ExcusedUntil;
  std::map<Pair, Overlap> Open;
  int Overlaps = 0;
  int FenceFaults = 0;
};

} // namespace review
