#include "mesh/OfferBook.h"

namespace hemlockspar {

namespace {

/// An instance that turned an offer down is left alone this long.
constexpr auto DeclinePause = std::chrono::milliseconds(1500);

/// A gift shows in the measured loads after this time: a heartbeat of the
/// backend server on either side, and the time over which loads are smoothed.
constexpr auto PassingTime = std::chrono::milliseconds(3500);

} // namespace

void OfferBook::declined(const InstanceId &Receiver, TimePoint Now) {
  this->Declined[Receiver] = Now + DeclinePause;
}

std::set<InstanceId> OfferBook::leftAlone(TimePoint Now) {
  std::erase_if(this->Declined,
                [&](const auto &Entry) { return Now >= Entry.second; });
  std::set<InstanceId> Names = this->Asked;
  for (const auto &[Name, Until] : this->Declined) {
    Names.insert(Name);
  }
  return Names;
}

double OfferBook::sum(const std::vector<Passing> &Loads, TimePoint Now) {
  double Sum = 0;
  for (const Passing &One : Loads) {
    Sum += Now < One.Until ? One.Load : 0;
  }
  return Sum;
}

void OfferBook::add(std::vector<Passing> &Loads, double Load, TimePoint Now) {
  std::erase_if(Loads, [&](const Passing &One) { return Now >= One.Until; });
  Loads.push_back({Load, Now + PassingTime});
}

void OfferBook::give(double Load, TimePoint Now) {
  add(this->Given, Load, Now);
}

double OfferBook::given(TimePoint Now) const { return sum(this->Given, Now); }

void OfferBook::promise(double Load, std::uint32_t Held, TimePoint Now) {
  add(this->Promised, Load, Now);
  this->HeldAtPromise = Held;
  this->AwaitedUntil = Now + PassingTime;
}

double OfferBook::promised(TimePoint Now) const {
  return sum(this->Promised, Now);
}

bool OfferBook::awaits(std::uint32_t Held, TimePoint Now) const {
  return Now < this->AwaitedUntil && Held <= this->HeldAtPromise;
}

} // namespace hemlockspar
