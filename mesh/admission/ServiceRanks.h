#pragma once

#include "mesh/Configuration.h"

namespace hemlockspar {

/// The ranks that a configuration declares for the routes to one service.
struct ServiceRanks {
  std::uint32_t MostUrgent = 0;
  std::uint32_t LeastUrgent = 0;

  /// Whether load shedding may distinguish the routes.
  bool differ() const { return this->MostUrgent != this->LeastUrgent; }
};

/// Returns the ranks of the routes to \p Service in \p Active.
ServiceRanks ranksOf(const Configuration &Active, const std::string &Service);

} // namespace hemlockspar
