#pragma once

#include "stand_ins/LoadGenerator.h"

#include <json/value.h>
#include <string>
#include <vector>

namespace hemlockspar {

/// Checks the runs that backend servers recorded, and the outcomes that callers
/// received, against the router's guarantees. Each check returns a description
/// of the first violation, or an empty string.
class RunChecker {
public:
  explicit RunChecker(std::vector<Json::Value> Runs);

  /// Two servers never run requests of one slot at the same time, and the
  /// slot's token never decreases from one run to the next.
  std::string checkExclusiveOwnership() const;

  /// No write ran more than once.
  std::string checkAtMostOnce() const;

  /// Every acknowledged write ran, and no write ran that was reported to its
  /// caller as not run.
  std::string checkOutcomes(const LoadResult &Result) const;

  /// All of the above, and that each response belonged to its request.
  std::string checkAll(const LoadResult &Result) const;

private:
  std::vector<Json::Value> Runs;
};

} // namespace hemlockspar
