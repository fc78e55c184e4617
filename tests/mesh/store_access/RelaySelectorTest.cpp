#include "mesh/store_access/RelaySelector.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <set>

using namespace hemlockspar;
using std::chrono::seconds;

namespace {

const TimePoint Start{seconds(100)};

/// Six data centres in three regions with four instances each.
std::vector<RelayCandidate> fleet() {
  std::vector<RelayCandidate> All;
  for (const char *Region : {"north", "south", "west"}) {
    for (const char *Part : {"-a", "-b"}) {
      for (int Number = 0; Number < 4; ++Number) {
        std::string DataCenter = std::string(Region) + Part;
        All.push_back(
            {{DataCenter + std::to_string(Number), 1}, Region, DataCenter});
      }
    }
  }
  return All;
}

std::string dataCenterOf(const Address &Peer) {
  return Peer.Host.substr(0, Peer.Host.size() - 1);
}

} // namespace

/// The loss of one data centre must not cost more than one attempt.
Test(RelaySelector, LostDataCenterIsTriedInARow) {
  RelaySelector Selector("south", 7);
  std::vector<Address> Ordered = Selector.order(fleet(), Start);
  cr_assert_eq(Ordered.size(), fleet().size());
  cr_assert(dataCenterOf(Ordered[0]).starts_with("south"));
  cr_assert(dataCenterOf(Ordered[1]).starts_with("south"));
  std::set<std::string> First;
  for (std::size_t Index = 0; Index < 6; ++Index) {
    First.insert(dataCenterOf(Ordered[Index]));
  }
  cr_assert_eq(First.size(), 6);
}

/// One that has failed is asked last, and again after some time.
Test(RelaySelector, FailedRelayIsAskedFirstAgain) {
  RelaySelector Selector("south", 7);
  Address First = Selector.order(fleet(), Start).front();
  Selector.onRelayed(First);
  cr_assert(Selector.order(fleet(), Start).front() == First);
  Selector.onFailed(First, Start);
  cr_assert(Selector.order(fleet(), Start + seconds(1)).back() == First);
  cr_assert(Selector.order(fleet(), Start + seconds(60)).front() == First);
}

/// Daemons spread their calls over the instances of a data centre.
Test(RelaySelector, AllDaemonsAskTheSameRelay) {
  std::set<Address> First;
  for (std::uint64_t Seed = 0; Seed < 8; ++Seed) {
    First.insert(RelaySelector("south", Seed).order(fleet(), Start).front());
  }
  cr_assert_eq(First.size(), 4);
}
