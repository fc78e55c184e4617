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

  /// How long the backend server stays cold, and how many requests per second
  /// it may get meanwhile; zero when it is not cold or tolerates any number.
  Duration ColdLeft{};
  double ColdRequestsPerSecond = 0;

  /// How long work takes on the server's machine at this moment, relative to
  /// the usual time; 0 when that is not known.
  double Pace = 0;

  /// How long the large responses that wait for the instance's link will take.
  Duration LinkBacklog{};
};

} // namespace hemlockspar
