#pragma once

#include "core/Clock.h"

#include <cstdint>

namespace hemlockspar {

/// How busy a backend server is, as the daemon beside it counts.
struct ServerLoad {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  std::uint32_t Slots = 1;

  /// Share of the slots that all requests that come would keep busy; above 1
  /// when some are refused.
  double OfferedLoad = 0;

  /// Mean time that a request holds a slot.
  Duration MeanRunTime{};
};

} // namespace hemlockspar
