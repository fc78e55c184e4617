#pragma once

#include "core/Clock.h"

#include <cstdint>
#include <optional>

namespace hemlockspar {

/// Bounds the number of log lines that clients can cause. Answers the load
/// pattern of clients that cause one refusal after the other. Free of I/O.
class LogLimiter {
public:
  /// Number of lines omitted since the last one if a line may be written now,
  /// otherwise std::nullopt.
  std::optional<std::uint64_t> admit(TimePoint Now);

private:
  TimePoint WindowStart;
  std::uint64_t Written = 0;
  std::uint64_t Omitted = 0;
};

} // namespace hemlockspar
