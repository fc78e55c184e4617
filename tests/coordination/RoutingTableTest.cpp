#include "coordination/RoutingTable.h"

#include <criterion/criterion.h>

using namespace hemlockspar;

namespace {

constexpr std::uint64_t SentInLife = 3;

/// The map after the lease of "a", in life 3 until then, is found in \p State
/// and \p Life.
std::shared_ptr<const RoutingTable> mapAfter(LeaseState State,
                                             std::uint64_t Life) {
  LeaseRow Row;
  Row.State = State;
  Row.Epoch = Life;

  RowCache Cache;
  InstanceDirectory Known;
  Known.onRow({leaseKey("a"), 7, Row.toText()}, TimePoint());
  return RoutingTable::build(Known, Cache);
}

} // namespace

/// What was sent to an instance that was taken over may never be answered.
Test(RoutingTable, TakenOverInstanceIsLost) {
  cr_assert(mapAfter(LeaseState::Expired, 4)->wasTakenOver("a", SentInLife));
  cr_assert(mapAfter(LeaseState::Live, 5)->wasTakenOver("a", SentInLife));
}

/// An instance that handed its slots over, or that left, answers what it was
/// sent before; giving such requests up would make their outcome unknown.
Test(RoutingTable, InstanceThatLeftIsNotLost) {
  cr_assert_not(mapAfter(LeaseState::Live, 3)->wasTakenOver("a", SentInLife));
  cr_assert_not(
      mapAfter(LeaseState::Released, 3)->wasTakenOver("a", SentInLife));
  cr_assert_not(mapAfter(LeaseState::Live, 3)->wasTakenOver("b", SentInLife));
}
