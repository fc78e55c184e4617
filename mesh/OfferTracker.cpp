#include "mesh/OfferTracker.h"

namespace hemlockspar {

namespace {

/// An instance that declined an offer is excluded for this long.
constexpr auto DeclineRetryDelay = std::chrono::milliseconds(1500);

/// A handover shows in the measured loads after this time: one heartbeat of the
/// backend server on either side, and the smoothing time of the loads.
constexpr auto LoadVisibleDelay = std::chrono::milliseconds(3500);

} // namespace

void OfferTracker::recordDecline(const InstanceId &Receiver, TimePoint Now) {
  this->DeclinedUntil[Receiver] = Now + DeclineRetryDelay;
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
  for (const LoadInTransit &Entry : Loads) {
    Sum += Now < Entry.Until ? Entry.Load : 0;
  }
  return Sum;
}

void OfferTracker::add(std::vector<LoadInTransit> &Loads, double Load,
                       TimePoint Now) {
  std::erase_if(Loads,
                [&](const LoadInTransit &Entry) { return Now >= Entry.Until; });
  Loads.push_back({Load, Now + LoadVisibleDelay});
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
  this->KeysExpectedUntil = Now + LoadVisibleDelay;
}

double OfferTracker::incomingLoad(TimePoint Now) const {
  return sumActive(this->Incoming, Now);
}

bool OfferTracker::expectsKeys(std::uint32_t Held, TimePoint Now) const {
  return Now < this->KeysExpectedUntil && Held <= this->KeyCountAtAccept;
}

} // namespace hemlockspar
