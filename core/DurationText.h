#pragma once

#include "core/Clock.h"

#include <optional>
#include <string>
#include <string_view>

namespace hemlockspar {

/// Parses a number with the unit "ms" or "s", such as "1500ms" or "2.5s".
/// Returns nullopt for any other format, a negative number or a duration of
/// more than a year.
std::optional<Duration> parseDuration(std::string_view Text);

/// Formats \p Span in whole milliseconds, truncated: "1500ms".
std::string formatDuration(Duration Span);

} // namespace hemlockspar
