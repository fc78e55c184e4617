#include "core/DurationText.h"

#include <charconv>
#include <cmath>

namespace hemlockspar {

namespace {

constexpr double LongestSeconds = 365.0 * 24 * 3600;

/// The length of \p Unit in seconds; zero when it is no unit.
double secondsOf(std::string_view Unit) {
  if (Unit == "ms") {
    return 0.001;
  }
  return Unit == "s" ? 1.0 : 0.0;
}

} // namespace

std::optional<Duration> parseDuration(std::string_view Text) {
  double Number = 0;
  const char *Last = Text.data() + Text.size();
  auto [End, Error] = std::from_chars(Text.data(), Last, Number);
  if (Error != std::errc()) {
    return std::nullopt;
  }

  double Unit = secondsOf({End, static_cast<std::size_t>(Last - End)});
  double Seconds = Number * Unit;
  bool Sound = Unit > 0 && std::isfinite(Seconds) && Seconds >= 0 &&
               Seconds <= LongestSeconds;
  if (!Sound) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

std::string formatDuration(Duration Span) {
  return std::to_string(toMilliseconds(Span)) + "ms";
}

} // namespace hemlockspar
