#include "mesh/placement/ServerPace.h"

namespace hemlockspar {

namespace {

constexpr double MinPace = 0.01;
constexpr double MaxPace = 1000;

} // namespace

void ServerPace::record(double Pace, TimePoint Now) {
  if (Pace >= MinPace && Pace <= MaxPace) {
    this->Newest = Pace;
    this->RecordedAt = Now;
  }
}

double ServerPace::known(TimePoint Now) const {
  return Now - this->RecordedAt <= MaxPaceAge ? this->Newest : 0;
}

double ServerPace::factor(TimePoint Now) const {
  double Known = this->known(Now);
  return Known > 0 ? Known : 1;
}

} // namespace hemlockspar
