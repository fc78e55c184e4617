#pragma once

#include "coordination/SlotBalancer.h"

#include <map>

namespace hemlockspar {

/// Measures how much each slot keeps the backend server busy, smoothed
/// exponentially over a few seconds. Performs no I/O.
class LoadMeter {
public:
  /// Maximum number of slots in one report.
  static constexpr std::size_t MaxReported = 64;

  /// A request for the slot kept the backend server busy for \p Busy.
  void record(const std::string &Keyspace, SlotIndex Slot, Duration Busy);

  /// Load since the last call, smoothed with earlier load. \p Capacity is
  /// the number of requests that the backend server runs concurrently; \p
  /// Waiting requests count as additional load.
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
