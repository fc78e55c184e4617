#include "mesh/OwnLease.h"

#include <criterion/criterion.h>

using namespace hemlockspar;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A lease whose row the test answers for.
struct LeaseBox {
  LeaseBox() : Lease("a", 77, {}) {
    this->Clock.observe(seconds(1000), this->Now, this->Now);
  }

  StoreCommit answer(CommitOutcome Outcome, RowVersion Version = 0) const {
    return {{Outcome, Version}, {}, std::nullopt};
  }

  /// Reads that there is no row, and writes the first one.
  void create() {
    this->Lease.onRow(nullptr, this->Clock);
    cr_assert(this->Lease.prepareRenewal(this->Clock, 0, this->Now));
    this->Lease.onCommit(this->answer(CommitOutcome::Committed, 5), this->Clock,
                         this->Now);
  }

  TimePoint Now{seconds(10)};
  StoreClock Clock;
  OwnLease Lease;
};

} // namespace

Test(OwnLease, NothingIsWrittenBeforeTheRowIsRead) {
  LeaseBox Box;
  cr_assert(Box.Lease.needsRead());
  cr_assert(!Box.Lease.prepareRenewal(Box.Clock, 0, Box.Now));
}

Test(OwnLease, CountsFromAnsweredWritesOnly) {
  LeaseBox Box;
  Box.create();
  TimePoint End = Box.Lease.expiresAt();
  cr_assert(Box.Lease.isHeld(Box.Now + seconds(7)));

  Box.Now += seconds(4);
  cr_assert(Box.Lease.prepareRenewal(Box.Clock, 0, Box.Now));
  Box.Lease.onCommit(Box.answer(CommitOutcome::Unknown), Box.Clock, Box.Now);
  cr_assert(Box.Lease.expiresAt() == End);
  cr_assert(Box.Lease.needsRead());
  cr_assert(!Box.Lease.prepareRenewal(Box.Clock, 0, Box.Now + seconds(1)));
}

Test(OwnLease, OwnWriteThatWasDoneCounts) {
  LeaseBox Box;
  Box.create();
  TimePoint End = Box.Lease.expiresAt();

  Box.Now += seconds(4);
  auto Write = Box.Lease.prepareRenewal(Box.Clock, 0, Box.Now);
  Box.Lease.onCommit(Box.answer(CommitOutcome::Unknown), Box.Clock, Box.Now);
  TableRow Row = {KeyLeaseRow::key("a"), 9, Write->Writes[0].Value};
  Box.Lease.onRow(&Row, Box.Clock);
  cr_assert(Box.Lease.expiresAt() > End);
  cr_assert_eq(Box.Lease.continuousSince(), 5);
}

Test(OwnLease, EndsWhenAnotherHasWrittenTheRow) {
  LeaseBox Box;
  Box.create();
  Box.Now += seconds(4);
  cr_assert(Box.Lease.prepareRenewal(Box.Clock, 0, Box.Now));
  Box.Lease.onCommit(Box.answer(CommitOutcome::Conflict), Box.Clock, Box.Now);

  TableRow Row = {KeyLeaseRow::key("a"), 8, KeyLeaseRow::closed().toText()};
  Box.Lease.onRow(&Row, Box.Clock);
  cr_assert(!Box.Lease.isHeld(Box.Now));

  // The next one begins anew: the owners may have changed before it.
  cr_assert(Box.Lease.prepareRenewal(Box.Clock, 0, Box.Now));
  Box.Lease.onCommit(Box.answer(CommitOutcome::Committed, 12), Box.Clock,
                     Box.Now);
  cr_assert(Box.Lease.isHeld(Box.Now));
  cr_assert_eq(Box.Lease.continuousSince(), 12);
}

Test(OwnLease, AnEarlierProcessesRowIsNotItsOwn) {
  LeaseBox Box;
  KeyLeaseRow Before;
  Before.Process = 76;
  Before.Until = seconds(1005);
  TableRow Row = {KeyLeaseRow::key("a"), 3, Before.toText()};
  Box.Lease.onRow(&Row, Box.Clock);
  cr_assert(!Box.Lease.isHeld(Box.Now));

  auto Write = Box.Lease.prepareRenewal(Box.Clock, 0, Box.Now);
  cr_assert(Write.has_value());
  cr_assert_eq(Write->Conditions[0].Version, 3);
}
