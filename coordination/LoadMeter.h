#pragma once

#include "coordination/SlotBalancer.h"

#include <map>

namespace hemlockspar {

/// Measures which slots keep the backend server busy, smoothed over some
/// seconds. Free of I/O.
class LoadMeter {
public:
  /// Slots named in one report.
  static constexpr std::size_t MaxReported = 64;

  /// A request for the slot kept the backend server busy for \p Busy.
  void record(const std::string &Keyspace, SlotIndex Slot, Duration Busy);

  /// Load since the last call, smoothed with what was before. \p Capacity is
  /// the number of requests that the backend server runs at once; \p Waiting
  /// requests count as demand on top.
  OwnLoad report(std::uint32_t Capacity, std::size_t Waiting, TimePoint Now);

private:
  struct SlotUsage {
    Duration Recent{};
    double BusyShare = 0;
  };

  std::map<std::pair<std::string, SlotIndex>, SlotUsage> Slots;
  TimePoint LastReport;
};

} // namespace hemlockspar
