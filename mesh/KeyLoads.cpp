#include "mesh/KeyLoads.h"

#include <cmath>
#include <vector>

namespace hemlockspar {

namespace {

/// Time constant of the exponential decay of loads: long enough to cover a few
/// requests for a warm key, short enough for hot keys that last seconds.
constexpr double DecaySeconds = 2.0;

/// Keys below this load are removed.
constexpr double IdleLoadSlots = 0.0005;

} // namespace

double KeyLoads::loadAt(const DecayedLoad &Measured, TimePoint Now) {
  double Age = std::chrono::duration<double>(Now - Measured.UpdatedAt).count();
  return Measured.BusySeconds * std::exp(-std::max(Age, 0.0) / DecaySeconds) /
         DecaySeconds;
}

void KeyLoads::record(KeyNumber Key, Duration Busy, TimePoint Now) {
  DecayedLoad &Measured = this->Keys[Key];
  double Remaining = loadAt(Measured, Now) * DecaySeconds;
  Measured.BusySeconds =
      Remaining + std::chrono::duration<double>(Busy).count();
  Measured.UpdatedAt = Now;
}

double KeyLoads::loadOf(const KeySpan &Range, TimePoint Now) const {
  double Load = 0;
  auto End = this->Keys.upper_bound(Range.To);
  for (auto Key = this->Keys.lower_bound(Range.From); Key != End; ++Key) {
    Load += loadAt(Key->second, Now);
  }
  return Load;
}

double KeyLoads::total(TimePoint Now) const {
  return this->loadOf({0, MaxKey}, Now);
}

std::optional<KeySpan> KeyLoads::findEdgeRange(const KeySpan &Range,
                                               double Load, bool FromStart,
                                               TimePoint Now) const {
  std::vector<std::pair<KeyNumber, double>> Loads;
  auto End = this->Keys.upper_bound(Range.To);
  for (auto Key = this->Keys.lower_bound(Range.From); Key != End; ++Key) {
    Loads.emplace_back(Key->first, loadAt(Key->second, Now));
  }

  double Taken = 0;
  if (FromStart) {
    for (const auto &[Key, Own] : Loads) {
      if (Taken + Own > Load) {
        return Key == Range.From ? std::nullopt
                                 : std::optional(KeySpan{Range.From, Key - 1});
      }
      Taken += Own;
    }
    return std::nullopt;
  }

  for (auto Place = Loads.rbegin(); Place != Loads.rend(); ++Place) {
    if (Taken + Place->second > Load) {
      return Place->first == Range.To
                 ? std::nullopt
                 : std::optional(KeySpan{Place->first + 1, Range.To});
    }
    Taken += Place->second;
  }
  return std::nullopt;
}

void KeyLoads::prune(TimePoint Now) {
  std::erase_if(this->Keys, [&](const auto &Entry) {
    return loadAt(Entry.second, Now) < IdleLoadSlots;
  });
}

} // namespace hemlockspar
