#include "mesh/store_access/HedgeSchedule.h"

#include <algorithm>

namespace hemlockspar {

namespace {

/// Relays per call at most, and those that are asked at the same time once the
/// first attempt is unanswered.
constexpr std::size_t MaxRelays = 5;
constexpr std::size_t RelaysPerRound = 2;

/// Bounds of the delay. The shortest is above a round trip between regions; the
/// longest leaves time for further attempts before the call times out.
constexpr auto MinDelay = std::chrono::milliseconds(200);
constexpr auto MaxDelay = std::chrono::milliseconds(600);

} // namespace

void HedgeDelay::recordAnswer(Duration Elapsed) {
  this->Recent = std::max<Duration>(Elapsed, (this->Recent * 3 + Elapsed) / 4);
}

Duration HedgeDelay::current() const {
  return std::clamp<Duration>(this->Recent * 2, MinDelay, MaxDelay);
}

HedgeSchedule::HedgeSchedule(DirectPath Direct, std::size_t Relays)
    : Direct(Direct), RelaysLeft(std::min(Relays, MaxRelays)) {}

bool HedgeSchedule::hasMore() const {
  bool MayReconnect = this->Round == 1 && this->Direct == DirectPath::Working;
  return this->Round == 0 || MayReconnect || this->RelaysLeft > 0;
}

std::vector<StorePath> HedgeSchedule::next(bool DirectUnanswered) {
  bool First = this->Round++ == 0;
  bool Second = this->Round == 2;
  std::vector<StorePath> Paths;

  if (First && this->Direct != DirectPath::Lost) {
    Paths.push_back(StorePath::Direct);
  }
  if (Second && this->Direct == DirectPath::Working && DirectUnanswered) {
    Paths.push_back(StorePath::DirectOnNewConnection);
  }

  std::size_t Relays = RelaysPerRound;
  if (First) {
    Relays = this->Direct == DirectPath::Working ? 0 : 1;
  }
  Relays = std::min(Relays, this->RelaysLeft);
  this->RelaysLeft -= Relays;
  Paths.insert(Paths.end(), Relays, StorePath::Relay);
  return Paths;
}

} // namespace hemlockspar
