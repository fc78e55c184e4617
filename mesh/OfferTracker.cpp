#include "mesh/OfferTracker.h"

namespace hemlockspar {

namespace {

/// An instance that turned an offer down is left alone this long.
constexpr auto DeclinePause = std::chrono::milliseconds(1500);

/// A gift shows in the measured loads after this time: a heartbeat of the
/// backend server on either side, and the time over which loads are smoothed.
constexpr auto PassingTime = std::chrono::milliseconds(3500);

} // namespace

void OfferTracker::recordDecline(const InstanceId &Receiver, TimePoint Now) {
  this->DeclinedUntil[Receiver] = Now + DeclinePause;
}

std::set<InstanceId> OfferTracker::excludedReceivers(TimePoint Now) {
  std::erase_if(this->DeclinedUntil,
                [&](const auto &Entry) { return Now >= Entry.second; });
  std::set<InstanceId> Names = this->Pending;
  for (const auto &[Name, Until] : this->DeclinedUntil) {
    Names.insert(Name);
  }
  return Names;
}

double OfferTracker::sumActive(const std::vector<LoadInTransit> &Loads,
                               TimePoint Now) {
  double Sum = 0;
  for (const LoadInTransit &One : Loads) {
    Sum += Now < One.Until ? One.Load : 0;
  }
  return Sum;
}

void OfferTracker::add(std::vector<LoadInTransit> &Loads, double Load,
                       TimePoint Now) {
  std::erase_if(Loads,
                [&](const LoadInTransit &One) { return Now >= One.Until; });
  Loads.push_back({Load, Now + PassingTime});
}

void OfferTracker::recordOutgoing(double Load, TimePoint Now) {
  add(this->Outgoing, Load, Now);
}

double OfferTracker::outgoingLoad(TimePoint Now) const {
  return sumActive(this->Outgoing, Now);
}

void OfferTracker::recordIncoming(double Load, std::uint32_t Held,
                                  TimePoint Now) {
  add(this->Incoming, Load, Now);
  this->KeyCountAtAccept = Held;
  this->KeysExpectedUntil = Now + PassingTime;
}

double OfferTracker::incomingLoad(TimePoint Now) const {
  return sumActive(this->Incoming, Now);
}

bool OfferTracker::expectsKeys(std::uint32_t Held, TimePoint Now) const {
  return Now < this->KeysExpectedUntil && Held <= this->KeyCountAtAccept;
}

} // namespace hemlockspar
