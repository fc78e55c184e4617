#pragma once

#include "core/Clock.h"

#include <deque>
#include <map>
#include <string>

namespace hemlockspar {

/// Bounds how many requests are sent to a service a second time, so that
/// repeats do not multiply a load that is the cause of failures. All instances
/// share the operator's bound without talking: each takes the share of its own
/// requests and its part of the fixed allowance. Free of I/O.
class RetryBudget {
public:
  struct Limits {
    /// Repeats per request.
    double Share = 0.2;
    Duration Window = std::chrono::seconds(10);

    /// Repeats within a window beside the share, over all instances.
    double Allowance = 0;
  };

  /// Part of the operator's bound that is used: a repeat makes its calls to
  /// other services again, and those count as repeats there.
  static constexpr double UsableFraction = 0.6;

  explicit RetryBudget(Limits Bounds) : Bounds(Bounds) {}

  /// How many instances share the allowance.
  void setInstanceCount(std::size_t Count);

  /// A request for \p Service came from a caller.
  void recordRequest(const std::string &Service, TimePoint Now);

  /// Whether a repeat may be sent to \p Service; it is then counted.
  bool tryConsume(const std::string &Service, TimePoint Now);

private:
  struct Counts {
    std::deque<TimePoint> Requests;
    std::deque<TimePoint> Retries;
  };

  void evictExpired(Counts &Known, TimePoint Now) const;

  Limits Bounds;
  std::size_t InstanceCount = 1;
  std::map<std::string, Counts> ServiceCounts;
};

} // namespace hemlockspar
