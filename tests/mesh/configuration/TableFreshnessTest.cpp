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
  cr_assert_not(Freshness.isCheckDue(Start, true));
  Freshness.confirm(10, Start);
  cr_assert_not(Freshness.isCheckDue(Start + milliseconds(200), true));
  cr_assert(Freshness.isCheckDue(Start + milliseconds(300), true));
  cr_assert_not(Freshness.isCheckDue(Start + milliseconds(1600), false));
  Freshness.confirmByPeer({5, milliseconds(1500)}, Start + milliseconds(1500),
                          Start + milliseconds(1600));
  cr_assert(Freshness.isCheckDue(Start + milliseconds(1900), false));

  // A check that has begun gets time for its response.
  Freshness.onCheckBegun(Start + milliseconds(1900), 0.5);
  cr_assert_not(Freshness.isCheckDue(Start + milliseconds(2800), true));
  cr_assert(Freshness.isCheckDue(Start + milliseconds(2900), false));
}

/// A peer's knowledge confirms the own one only when no change is missing here.
Test(TableFreshness, PeersWithNewerChangesConfirmNothing) {
  TableFreshness Freshness;
  Freshness.confirmByPeer({0, milliseconds(0)}, Start, Start);
  cr_assert_not(Freshness.age(Start).has_value());
  Freshness.confirm(10, Start);

  TimePoint Later = Start + seconds(3);
  Freshness.confirmByPeer({11, milliseconds(100)}, Later, Later);
  Freshness.confirmByPeer({10, std::nullopt}, Later, Later);
  cr_assert(Freshness.age(Later) == seconds(3));
  Freshness.confirmByPeer({10, milliseconds(100)}, Later, Later);
  cr_assert(Freshness.age(Later) == milliseconds(100));
}

/// An older confirmation that arrives late must not make knowledge look older.
Test(TableFreshness, LateConfirmationsChangeNothing) {
  TableFreshness Freshness;
  Freshness.confirm(10, Start + seconds(2));
  Freshness.confirm(9, Start);
  cr_assert(Freshness.age(Start + seconds(2)) == milliseconds(0));
  Freshness.confirmByPeer({10, milliseconds(0)}, Start + seconds(3),
                          Start + seconds(3));
  cr_assert(Freshness.age(Start + seconds(3)) == milliseconds(0));
}

/// The time that a request takes at the other daemon must not make what it
/// learned meanwhile look older, nor may a report point to the future.
Test(TableFreshness, WhatIsLearnedDuringARequestIsNoOlder) {
  TableFreshness Theirs;
  Theirs.confirm(10, Start);
  TimePoint ArrivedAt = Start + milliseconds(100);
  Theirs.confirm(10, Start + milliseconds(500));

  TableFreshness Ours;
  Ours.confirm(12, Start - seconds(1));
  TimePoint SentAt = Start + milliseconds(80);
  TimePoint Now = Start + milliseconds(620);
  Ours.confirmByPeer(Theirs.report(ArrivedAt), SentAt, Now);
  cr_assert(Ours.age(Now) == milliseconds(140));
  Ours.confirmByPeer({10, -seconds(5)}, SentAt, Now);
  cr_assert(Ours.age(Now) == milliseconds(0));
}
