#pragma once

#include "core/Clock.h"

#include <cstdint>

namespace hemlockspar {

/// Load of a backend server, as measured by its local daemon.
struct ServerLoad {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  std::uint32_t Slots = 1;

  /// Slots that all arriving requests would occupy, relative to the number of
  /// slots; above 1 when some are refused.
  double OfferedLoad = 0;

  /// Mean time for which a request occupies a slot.
  Duration MeanRunTime{};
};

} // namespace hemlockspar
