#pragma once

#include "core/Clock.h"

#include <string>
#include <unordered_map>

namespace hemlockspar {

/// Estimates service times of request classes from completed requests. Holds at
/// most MaxClasses classes; further classes share one entry.
class ServiceTimeEstimator {
public:
  static constexpr std::size_t MaxClasses = 1024;

  /// A class is long when its mean exceeds the typical time by this factor.
  static constexpr double LongFactor = 5.0;

  void addSample(const std::string &Class, Duration ServiceTime);

  /// Smoothed mean of the class; the typical time when the class has no
  /// samples.
  Duration expected(const std::string &Class) const;

  /// Whether requests of the class run many times longer than is typical.
  bool isLong(const std::string &Class) const;

  /// Geometric mean over recent requests of all classes.
  Duration typical() const;

private:
  struct Mean {
    double Seconds = 0;
    bool HasSamples = false;
  };

  const Mean *find(const std::string &Class) const;

  std::unordered_map<std::string, Mean> Classes;
  Mean Overflow;
  double TypicalLogSeconds = 0;
  bool TypicalKnown = false;
};

} // namespace hemlockspar
