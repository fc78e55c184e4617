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

double KeyLoads::loadAt(const DecayedLoad &Seen, TimePoint Now) {
  double Age = std::chrono::duration<double>(Now - Seen.UpdatedAt).count();
  return Seen.BusySeconds * std::exp(-std::max(Age, 0.0) / FadeSeconds) /
         FadeSeconds;
}

void KeyLoads::record(KeyNumber Key, Duration Busy, TimePoint Now) {
  DecayedLoad &Seen = this->Keys[Key];
  double Left = loadAt(Seen, Now) * FadeSeconds;
  Seen.BusySeconds = Left + std::chrono::duration<double>(Busy).count();
  Seen.UpdatedAt = Now;
}

double KeyLoads::loadOf(const KeySpan &Span, TimePoint Now) const {
  double Load = 0;
  auto End = this->Keys.upper_bound(Span.To);
  for (auto Key = this->Keys.lower_bound(Span.From); Key != End; ++Key) {
    Load += loadAt(Key->second, Now);
  }
  return Load;
}

double KeyLoads::total(TimePoint Now) const {
  return this->loadOf({0, MaxKey}, Now);
}

std::optional<KeySpan> KeyLoads::findEdgeSpan(const KeySpan &Span, double Load,
                                              bool FromStart,
                                              TimePoint Now) const {
  std::vector<std::pair<KeyNumber, double>> Loads;
  auto End = this->Keys.upper_bound(Span.To);
  for (auto Key = this->Keys.lower_bound(Span.From); Key != End; ++Key) {
    Loads.emplace_back(Key->first, loadAt(Key->second, Now));
  }

  double Taken = 0;
  if (FromStart) {
    for (const auto &[Key, Own] : Loads) {
      if (Taken + Own > Load) {
        return Key == Span.From ? std::nullopt
                                : std::optional(KeySpan{Span.From, Key - 1});
      }
      Taken += Own;
    }
    return std::nullopt;
  }

  for (auto Place = Loads.rbegin(); Place != Loads.rend(); ++Place) {
    if (Taken + Place->second > Load) {
      return Place->first == Span.To
                 ? std::nullopt
                 : std::optional(KeySpan{Place->first + 1, Span.To});
    }
    Taken += Place->second;
  }
  return std::nullopt;
}

void KeyLoads::prune(TimePoint Now) {
  std::erase_if(this->Keys, [&](const auto &Entry) {
    return loadAt(Entry.second, Now) < IdleLoad;
  });
}

} // namespace hemlockspar
