#include "mesh/store_access/RelaySelector.h"

#include <algorithm>

namespace hemlockspar {

namespace {

/// An instance that has failed is asked after all others for this time.
constexpr auto SuspectTime = std::chrono::seconds(10);

} // namespace

RelaySelector::RelaySelector(std::string Region, std::uint64_t Seed)
    : Region(std::move(Region)), Seed(Seed) {}

std::vector<Address>
RelaySelector::order(const std::vector<RelayCandidate> &Candidates,
                     TimePoint Now) {
  std::erase_if(this->FailedAt, [&](const auto &Entry) {
    return Now - Entry.second >= SuspectTime;
  });

  // By data centre, those of the own region first.
  std::map<std::pair<bool, std::string>, std::vector<Address>> Groups;
  std::vector<std::pair<TimePoint, Address>> Suspects;
  bool HasPreferred = false;
  for (const RelayCandidate &Entry : Candidates) {
    auto Failed = this->FailedAt.find(Entry.PeerAddress);
    if (Failed != this->FailedAt.end()) {
      Suspects.emplace_back(Failed->second, Entry.PeerAddress);
    } else if (this->Preferred == Entry.PeerAddress) {
      HasPreferred = true;
    } else {
      Groups[{Entry.Region != this->Region, Entry.DataCenter}].push_back(
          Entry.PeerAddress);
    }
  }

  std::vector<Address> Ordered;
  if (HasPreferred) {
    Ordered.push_back(*this->Preferred);
  }
  std::size_t Largest = 0;
  for (const auto &[Key, Group] : Groups) {
    Largest = std::max(Largest, Group.size());
  }
  for (std::size_t Round = 0; Round < Largest; ++Round) {
    for (const auto &[Key, Group] : Groups) {
      if (Round < Group.size()) {
        Ordered.push_back(Group[(this->Seed + Round) % Group.size()]);
      }
    }
  }
  std::sort(Suspects.begin(), Suspects.end());
  for (const auto &[At, Peer] : Suspects) {
    Ordered.push_back(Peer);
  }
  return Ordered;
}

void RelaySelector::onRelayed(const Address &Peer) {
  this->Preferred = Peer;
  this->FailedAt.erase(Peer);
}

void RelaySelector::onFailed(const Address &Peer, TimePoint Now) {
  this->FailedAt[Peer] = Now;
}

} // namespace hemlockspar
