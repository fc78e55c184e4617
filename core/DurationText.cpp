#include "core/DurationText.h"

#include <charconv>
#include <cmath>

namespace hemlockspar {

namespace {

constexpr double MaxSeconds = 365.0 * 24 * 3600;

/// The length of \p Unit in seconds; zero for an unknown unit.
double secondsPerUnit(std::string_view Unit) {
  if (Unit == "ms") {
    return 0.001;
  }
  return Unit == "s" ? 1.0 : 0.0;
}

} // namespace

std::optional<Duration> parseDuration(std::string_view Text) {
  double Number = 0;
  const char *TextEnd = Text.data() + Text.size();
  auto [NumberEnd, Error] = std::from_chars(Text.data(), TextEnd, Number);
  if (Error != std::errc()) {
    return std::nullopt;
  }

  double Unit = secondsPerUnit(
      {NumberEnd, static_cast<std::size_t>(TextEnd - NumberEnd)});
  double Seconds = Number * Unit;
  bool Valid = Unit > 0 && std::isfinite(Seconds) && Seconds >= 0 &&
               Seconds <= MaxSeconds;
  if (!Valid) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

std::string formatDuration(Duration Span) {
  return std::to_string(toMilliseconds(Span)) + "ms";
}

} // namespace hemlockspar
