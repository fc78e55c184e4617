#pragma once

#include "stand_ins/LoadGenerator.h"

#include <json/value.h>
#include <string>
#include <vector>

namespace hemlockspar {

/// Reads what backend servers recorded and what callers were told, and finds
/// broken promises. Each check returns the first breach, or empty.
class RunChecker {
public:
  explicit RunChecker(std::vector<Json::Value> Runs);

  /// Two servers never work on one slot at the same time, and a run under a
  /// newer token never precedes one under an older token.
  std::string checkOwners() const;

  /// No write ran twice.
  std::string checkAtMostOnce() const;

  /// Every write that was acknowledged ran, and none that callers were told
  /// had not run.
  std::string checkOutcomes(const LoadResult &Told) const;

  /// All of these.
  std::string checkAll(const LoadResult &Told) const;

private:
  std::vector<Json::Value> Runs;
};

} // namespace hemlockspar
