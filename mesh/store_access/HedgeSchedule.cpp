#include "mesh/store_access/HedgeSchedule.h"

#include <algorithm>

namespace hemlockspar {

namespace {

/// Relays per call at most, and those that are asked at the same time once the
/// first attempt is unanswered.
constexpr std::size_t MaxRelays = 5;
constexpr std::size_t RelaysPerRound = 2;

} // namespace

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
