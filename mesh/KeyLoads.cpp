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

double KeyLoads::loadOf(const KeyRange &Range, TimePoint Now) const {
  double Load = 0;
  auto End = this->Keys.upper_bound(Range.Last);
  for (auto Key = this->Keys.lower_bound(Range.First); Key != End; ++Key) {
    Load += loadAt(Key->second, Now);
  }
  return Load;
}

double KeyLoads::total(TimePoint Now) const {
  return this->loadOf({0, MaxKey}, Now);
}

std::optional<KeyRange> KeyLoads::findEdgeRange(const KeyRange &Range,
                                                double Load, bool FromStart,
                                                TimePoint Now) const {
  std::vector<std::pair<KeyNumber, double>> Loads;
  auto End = this->Keys.upper_bound(Range.Last);
  for (auto Key = this->Keys.lower_bound(Range.First); Key != End; ++Key) {
    Loads.emplace_back(Key->first, loadAt(Key->second, Now));
  }

  double Taken = 0;
  if (FromStart) {
    for (const auto &[Key, Own] : Loads) {
      if (Taken + Own > Load) {
        return Key == Range.First
                   ? std::nullopt
                   : std::optional(KeyRange{Range.First, Key - 1});
      }
      Taken += Own;
    }
    return std::nullopt;
  }

  for (auto Place = Loads.rbegin(); Place != Loads.rend(); ++Place) {
    if (Taken + Place->second > Load) {
      return Place->first == Range.Last
                 ? std::nullopt
                 : std::optional(KeyRange{Place->first + 1, Range.Last});
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
