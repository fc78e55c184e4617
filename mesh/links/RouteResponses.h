#pragma once

#include "core/Clock.h"

#include <cstdint>
#include <map>
#include <string>

namespace hemlockspar {

/// What is expected of the next response of a route.
struct ResponseEstimate {
  /// Mean size of the body in bytes; 0 when it is not known.
  double Bytes = 0;

  /// Mean time for which a request occupies a slot before its response is
  /// ready.
  Duration RunTime{};

  /// Whether the responses of the route are large bodies for a link.
  bool Large = false;
};

/// Learns the sizes of the responses of each route. Handles the load pattern of
/// routes whose sizes vary several-fold from one response to the next, on which
/// a single response says little. Performs no I/O.
class RouteResponses {
public:
  /// Records a response of \p RouteName with a body of \p Bytes, for which a
  /// slot was occupied for \p RunTime; zero when that is not known.
  void record(const std::string &RouteName, std::uint64_t Bytes,
              Duration RunTime);

  /// Returns nothing but zeros for a route with too few responses so far.
  ResponseEstimate estimate(const std::string &RouteName) const;

private:
  struct Entry {
    ResponseEstimate Mean;
    std::uint32_t Count = 0;
  };

  std::map<std::string, Entry> Routes;
};

} // namespace hemlockspar
