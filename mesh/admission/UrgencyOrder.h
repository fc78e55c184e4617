#pragma once

#include "coordination/QueueDiscipline.h"
#include "mesh/admission/RunTimes.h"

namespace hemlockspar {

/// The order of requests within a rank.
class UrgencyOrder {
public:
  virtual ~UrgencyOrder() = default;

  /// Requests with an earlier key start first; equal keys keep the order of
  /// arrival. The key does not change while a request waits.
  virtual TimePoint keyOf(const QueuedRequest &Request,
                          const RunTime &Run) const = 0;
};

/// Earliest due time first. Handles requests of one rank with different
/// objectives; under overload short work is shed less than by least slack,
/// which starts long work first.
class EarliestDueOrder : public UrgencyOrder {
public:
  TimePoint keyOf(const QueuedRequest &Request,
                  const RunTime &) const override {
    return Request.DueAt;
  }
};

} // namespace hemlockspar
