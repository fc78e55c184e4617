#include "mesh/configuration/TableFreshness.h"

#include <criterion/criterion.h>

using namespace hemlockspar;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint Start{seconds(100)};

} // namespace

/// A table that was not confirmed for long enough must be checked, however many
/// daemons tell of it without knowing more.
Test(TableFreshness, UnconfirmedKnowledgeIsChecked) {
  TableFreshness Freshness;
  cr_assert_not(Freshness.isCheckDue(Start));
  Freshness.confirm(10, Start);
  cr_assert_not(Freshness.isCheckDue(Start + milliseconds(900)));
  Freshness.confirmByPeer({5, milliseconds(1500)}, Start + milliseconds(1500));
  cr_assert(Freshness.isCheckDue(Start + milliseconds(1800)));

  // A check that has begun gets time for its response.
  Freshness.onCheckBegun(Start + milliseconds(1800), 0.5);
  cr_assert_not(Freshness.isCheckDue(Start + milliseconds(1900)));
  cr_assert(Freshness.isCheckDue(Start + milliseconds(2900)));
}

/// A peer's knowledge confirms the own one only when no change is missing here.
Test(TableFreshness, PeersWithNewerChangesConfirmNothing) {
  TableFreshness Freshness;
  Freshness.confirmByPeer({0, milliseconds(0)}, Start);
  cr_assert_not(Freshness.age(Start).has_value());
  Freshness.confirm(10, Start);

  TimePoint Later = Start + seconds(3);
  Freshness.confirmByPeer({11, milliseconds(100)}, Later);
  Freshness.confirmByPeer({10, std::nullopt}, Later);
  cr_assert(Freshness.age(Later) == seconds(3));
  Freshness.confirmByPeer({10, milliseconds(100)}, Later);
  cr_assert(Freshness.age(Later) == milliseconds(100));
}

/// An older confirmation that arrives late must not make knowledge look older.
Test(TableFreshness, LateConfirmationsChangeNothing) {
  TableFreshness Freshness;
  Freshness.confirm(10, Start + seconds(2));
  Freshness.confirm(9, Start);
  cr_assert(Freshness.age(Start + seconds(2)) == milliseconds(0));
  Freshness.confirmByPeer({10, milliseconds(0)}, Start + seconds(3));
  cr_assert(Freshness.age(Start + seconds(3)) == milliseconds(0));
}
