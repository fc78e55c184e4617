#pragma once

#include "core/Clock.h"

#include <deque>
#include <map>
#include <string>

namespace hemlockspar {

/// Whether a retry belongs to the most urgent rank of its service.
enum class RetryUrgency {
  /// Also where the routes to the service have no different ranks.
  MostUrgent,
  LessUrgent,
};

/// Limits retries to each service, so that retries do not amplify an overload
/// that causes failures. The operator's limit applies to all instances together
/// without coordination between them: each uses the share of its own requests
/// and an equal part of the fixed allowance. A part is reserved for the most
/// urgent rank, which holds the calls of running requests: without the retry of
/// a call its parent's whole run is lost. Performs no I/O.
class RetryBudget {
public:
  struct Limits {
    /// Retries per request.
    double Share = 0.2;
    Duration Window = std::chrono::seconds(10);

    /// Additional retries per window, over all instances.
    double Allowance = 0;
  };

  /// Fraction of the operator's limit that is used: a retried request repeats
  /// its calls to other services, which count as retries there.
  static constexpr double UsableFraction = 0.6;

  /// Fraction of the usable limit that less urgent retries may use.
  static constexpr double LessUrgentFraction = 0.75;

  explicit RetryBudget(Limits Bounds) : Bounds(Bounds) {}

  /// Sets the number of instances that share the allowance.
  void setInstanceCount(std::size_t Count);

  /// Records a caller's request for \p Service.
  void recordRequest(const std::string &Service, TimePoint Now);

  /// Returns whether a retry to \p Service is allowed, and counts it if so.
  bool tryConsume(const std::string &Service, TimePoint Now,
                  RetryUrgency Urgency = RetryUrgency::MostUrgent);

private:
  struct Counts {
    std::deque<TimePoint> Requests;
    std::deque<TimePoint> Retries;

    /// Those of Retries that were less urgent.
    std::deque<TimePoint> LessUrgentRetries;
  };

  void evictExpired(Counts &Current, TimePoint Now) const;

  Limits Bounds;
  std::size_t InstanceCount = 1;
  std::map<std::string, Counts> ServiceCounts;
};

} // namespace hemlockspar
