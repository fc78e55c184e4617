#include "mesh/KeyLoads.h"

#include <cmath>
#include <vector>

namespace hemlockspar {

namespace {

/// Loads fade with this time constant, in seconds: long enough for a few
/// requests of a warm key, short enough for hot keys that last seconds.
constexpr double FadeSeconds = 2.0;

/// A key below this load, in slots, is forgotten.
constexpr double IdleLoad = 0.0005;

} // namespace

double KeyLoads::valueOf(const Measure &Seen, TimePoint Now) {
  double Age = std::chrono::duration<double>(Now - Seen.At).count();
  return Seen.BusySeconds * std::exp(-std::max(Age, 0.0) / FadeSeconds) /
         FadeSeconds;
}

void KeyLoads::record(KeyNumber Key, Duration Busy, TimePoint Now) {
  Measure &Seen = this->Keys[Key];
  double Left = valueOf(Seen, Now) * FadeSeconds;
  Seen.BusySeconds = Left + std::chrono::duration<double>(Busy).count();
  Seen.At = Now;
}

double KeyLoads::within(const KeyRange &Span, TimePoint Now) const {
  double Load = 0;
  auto End = this->Keys.upper_bound(Span.Last);
  for (auto Key = this->Keys.lower_bound(Span.First); Key != End; ++Key) {
    Load += valueOf(Key->second, Now);
  }
  return Load;
}

double KeyLoads::total(TimePoint Now) const {
  return this->within({0, MaxKey}, Now);
}

std::optional<KeyRange> KeyLoads::cutOff(const KeyRange &Span, double Load,
                                         bool FromStart, TimePoint Now) const {
  std::vector<std::pair<KeyNumber, double>> Loads;
  auto End = this->Keys.upper_bound(Span.Last);
  for (auto Key = this->Keys.lower_bound(Span.First); Key != End; ++Key) {
    Loads.emplace_back(Key->first, valueOf(Key->second, Now));
  }

  double Taken = 0;
  if (FromStart) {
    for (const auto &[Key, Own] : Loads) {
      if (Taken + Own > Load) {
        return Key == Span.First ? std::nullopt
                                 : std::optional(KeyRange{Span.First, Key - 1});
      }
      Taken += Own;
    }
    return std::nullopt;
  }

  for (auto Place = Loads.rbegin(); Place != Loads.rend(); ++Place) {
    if (Taken + Place->second > Load) {
      return Place->first == Span.Last
                 ? std::nullopt
                 : std::optional(KeyRange{Place->first + 1, Span.Last});
    }
    Taken += Place->second;
  }
  return std::nullopt;
}

void KeyLoads::prune(TimePoint Now) {
  std::erase_if(this->Keys, [&](const auto &Entry) {
    return valueOf(Entry.second, Now) < IdleLoad;
  });
}

} // namespace hemlockspar
