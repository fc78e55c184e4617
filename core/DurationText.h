#pragma once

#include "core/Clock.h"

#include <optional>
#include <string>
#include <string_view>

namespace hemlockspar {

/// Reads a span written as a number and its unit, "ms" or "s": "1500ms",
/// "2.5s". Nothing on another shape, a negative number or a span of over a
/// year.
std::optional<Duration> parseDuration(std::string_view Text);

/// Writes \p Span in whole milliseconds, rounded down: "1500ms".
std::string formatDuration(Duration Span);

} // namespace hemlockspar
