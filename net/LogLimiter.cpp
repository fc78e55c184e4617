#include "net/LogLimiter.h"

#include <utility>

namespace hemlockspar {

namespace {

constexpr auto Window = std::chrono::seconds(1);
constexpr std::uint64_t LinesPerWindow = 10;

} // namespace

std::optional<std::uint64_t> LogLimiter::admit(TimePoint Now) {
  if (Now - this->WindowStart >= Window) {
    this->WindowStart = Now;
    this->Written = 0;
  }
  if (this->Written >= LinesPerWindow) {
    ++this->Omitted;
    return std::nullopt;
  }
  ++this->Written;
  return std::exchange(this->Omitted, 0);
}

} // namespace hemlockspar
