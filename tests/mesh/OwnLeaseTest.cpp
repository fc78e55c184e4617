#include "mesh/OwnLease.h"

#include <criterion/criterion.h>

using namespace hemlockspar;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A lease for whose store calls the test supplies the results.
struct LeaseFixture {
  LeaseFixture() : Lease("a", 77, {}) {
    this->Clock.observe(seconds(1000), this->Now, this->Now);
  }

  StoreCommit makeCommit(CommitOutcome Outcome, RowVersion Version = 0) const {
    return {{Outcome, Version}, {}, std::nullopt};
  }

  /// Reports that there is no row, and writes the first one.
  void create() {
    this->Lease.onRow(nullptr, this->Clock);
    cr_assert(this->Lease.prepareRenewal(this->Clock, 0, this->Now));
    this->Lease.onCommit(this->makeCommit(CommitOutcome::Committed, 5),
                         this->Clock, this->Now);
  }

  TimePoint Now{seconds(10)};
  StoreClock Clock;
  OwnLease Lease;
};

} // namespace

Test(OwnLease, NothingIsWrittenBeforeTheRowIsRead) {
  LeaseFixture Fixture;
  cr_assert(Fixture.Lease.needsRead());
  cr_assert(!Fixture.Lease.prepareRenewal(Fixture.Clock, 0, Fixture.Now));
}

Test(OwnLease, OnlyAcknowledgedWritesExtendIt) {
  LeaseFixture Fixture;
  Fixture.create();
  TimePoint End = Fixture.Lease.expiresAt();
  cr_assert(Fixture.Lease.isHeld(Fixture.Now + seconds(7)));

  Fixture.Now += seconds(4);
  cr_assert(Fixture.Lease.prepareRenewal(Fixture.Clock, 0, Fixture.Now));
  Fixture.Lease.onCommit(Fixture.makeCommit(CommitOutcome::Unknown),
                         Fixture.Clock, Fixture.Now);
  cr_assert(Fixture.Lease.expiresAt() == End);
  cr_assert(Fixture.Lease.needsRead());
  cr_assert(!Fixture.Lease.prepareRenewal(Fixture.Clock, 0,
                                          Fixture.Now + seconds(1)));
}

Test(OwnLease, UnacknowledgedWriteCountsOnceRead) {
  LeaseFixture Fixture;
  Fixture.create();
  TimePoint End = Fixture.Lease.expiresAt();

  Fixture.Now += seconds(4);
  auto Write = Fixture.Lease.prepareRenewal(Fixture.Clock, 0, Fixture.Now);
  Fixture.Lease.onCommit(Fixture.makeCommit(CommitOutcome::Unknown),
                         Fixture.Clock, Fixture.Now);
  TableRow Row = {KeyLeaseRow::key("a"), 9, Write->Writes[0].Value};
  Fixture.Lease.onRow(&Row, Fixture.Clock);
  cr_assert(Fixture.Lease.expiresAt() > End);
  cr_assert_eq(Fixture.Lease.continuousSince(), 5);
}

Test(OwnLease, EndsWhenAnotherHasWrittenTheRow) {
  LeaseFixture Fixture;
  Fixture.create();
  Fixture.Now += seconds(4);
  cr_assert(Fixture.Lease.prepareRenewal(Fixture.Clock, 0, Fixture.Now));
  Fixture.Lease.onCommit(Fixture.makeCommit(CommitOutcome::Conflict),
                         Fixture.Clock, Fixture.Now);

  TableRow Row = {KeyLeaseRow::key("a"), 8, KeyLeaseRow::closed().toText()};
  Fixture.Lease.onRow(&Row, Fixture.Clock);
  cr_assert(!Fixture.Lease.isHeld(Fixture.Now));

  // The next lease starts afresh: the owners may have changed before it.
  cr_assert(Fixture.Lease.prepareRenewal(Fixture.Clock, 0, Fixture.Now));
  Fixture.Lease.onCommit(Fixture.makeCommit(CommitOutcome::Committed, 12),
                         Fixture.Clock, Fixture.Now);
  cr_assert(Fixture.Lease.isHeld(Fixture.Now));
  cr_assert_eq(Fixture.Lease.continuousSince(), 12);
}

Test(OwnLease, EarlierProcessRowIsNotOwn) {
  LeaseFixture Fixture;
  KeyLeaseRow Before;
  Before.Process = 76;
  Before.Until = seconds(1005);
  TableRow Row = {KeyLeaseRow::key("a"), 3, Before.toText()};
  Fixture.Lease.onRow(&Row, Fixture.Clock);
  cr_assert(!Fixture.Lease.isHeld(Fixture.Now));

  auto Write = Fixture.Lease.prepareRenewal(Fixture.Clock, 0, Fixture.Now);
  cr_assert(Write.has_value());
  cr_assert_eq(Write->Conditions[0].Version, 3);
}
