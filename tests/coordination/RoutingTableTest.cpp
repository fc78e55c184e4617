#include "coordination/RoutingTable.h"

#include <criterion/criterion.h>

using namespace hemlockspar;

namespace {

constexpr std::uint64_t SentInEpoch = 3;

/// The routing table after the lease of "a", until then in epoch 3, is read
/// with \p State and \p Epoch.
std::shared_ptr<const RoutingTable> routingTableAfter(LeaseState State,
                                                      std::uint64_t Epoch) {
  LeaseRow Row;
  Row.State = State;
  Row.Epoch = Epoch;

  RowCache Cache;
  InstanceDirectory Directory;
  Directory.onRow({leaseKey("a"), 7, Row.toText()}, TimePoint());
  return RoutingTable::build(Directory, Cache);
}

} // namespace

/// Requests sent to an instance that was taken over may never be answered.
Test(RoutingTable, TakeoverIsDetected) {
  cr_assert(routingTableAfter(LeaseState::Expired, 4)
                ->wasTakenOver("a", SentInEpoch));
  cr_assert(
      routingTableAfter(LeaseState::Live, 5)->wasTakenOver("a", SentInEpoch));
}

/// An instance that handed over its slots or released its lease still answers
/// earlier requests; aborting them would make their outcome unknown.
Test(RoutingTable, ReleaseIsNoTakeover) {
  cr_assert_not(
      routingTableAfter(LeaseState::Live, 3)->wasTakenOver("a", SentInEpoch));
  cr_assert_not(routingTableAfter(LeaseState::Released, 3)
                    ->wasTakenOver("a", SentInEpoch));
  cr_assert_not(
      routingTableAfter(LeaseState::Live, 3)->wasTakenOver("b", SentInEpoch));
}
