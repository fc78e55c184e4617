#include "coordination/LeaseHolder.h"
#include "coordination/Witness.h"

#include <criterion/criterion.h>

using namespace hemlockspar;
using std::chrono::milliseconds;

namespace {

constexpr RowVersion First = 10;
constexpr RowVersion Second = 20;

TimePoint at(int Ms) { return TimePoint(milliseconds(100000 + Ms)); }

LeaseRow rowWith(const std::vector<std::string> &Witnesses) {
  LeaseRow Row;
  Row.Incarnation = 1;
  Row.Epoch = 1;
  for (const std::string &Name : Witnesses) {
    Row.Witnesses.push_back({Name, 5});
  }
  return Row;
}

/// Answers as process \p Incarnation of \p Witness a renewal sent at \p Sent.
void acknowledge(LeaseHolder &Holder, const std::string &Witness,
                 TimePoint Sent, Incarnation Incarnation = 5) {
  RenewalRequest Request{"self", Holder.version(), 1, 0};
  Holder.onRenewalReply(Witness, Request, {Incarnation, true, 0}, Sent);
}

Duration leaseAtHolder() { return Timing().holderLeaseDuration(); }

RenewalRequest renewal(RowVersion Version, std::uint64_t Life = 1) {
  return {"holder", Version, Life, 0};
}

VoteRequest question(RowVersion Version) { return {"holder", Version, 0}; }

/// Just past the time after which a witness may vote.
int votingAge() {
  return static_cast<int>(toMilliseconds(Timing().witnessLeaseDuration())) + 1;
}

} // namespace

/// The lease runs from when the renewals that a majority answered were sent.
Test(LeaseHolder, RunsFromTheMajoritysSendTime) {
  LeaseHolder Holder("self", Timing());
  Holder.adopt(rowWith({"a", "b", "c"}), First, at(0));
  cr_assert_not(Holder.holds(at(0)));

  acknowledge(Holder, "a", at(500));
  cr_assert_not(Holder.holds(at(500)));
  acknowledge(Holder, "b", at(100));
  cr_assert(Holder.expiresAt() == at(100) + leaseAtHolder());
  acknowledge(Holder, "c", at(400));
  cr_assert(Holder.expiresAt() == at(400) + leaseAtHolder());
}

/// Another process under a witness's name does not count.
Test(LeaseHolder, IgnoresOtherProcesses) {
  LeaseHolder Holder("self", Timing());
  Holder.adopt(rowWith({"a", "b", "c"}), First, at(0));
  acknowledge(Holder, "a", at(100));
  acknowledge(Holder, "b", at(100), 6);
  acknowledge(Holder, "x", at(100));
  cr_assert_not(Holder.holds(at(100)));
}

/// What is left of the version before counts until the next write is sent,
/// since a takeover of that write's row would not ask its witnesses.
Test(LeaseHolder, LeftoverEndsWithTheNextWrite) {
  LeaseHolder Holder("self", Timing());
  Holder.adopt(rowWith({"a", "b", "c"}), First, at(0));
  acknowledge(Holder, "a", at(100));
  acknowledge(Holder, "b", at(100));

  LeaseRow Next = rowWith({"d", "e", "f"});
  Next.PreviousVersion = First;
  Holder.adopt(Next, Second, at(200));
  cr_assert(Holder.holds(at(200)));
  cr_assert_not(Holder.currentVersionHolds(at(200)));

  Holder.beforeRowWrite();
  cr_assert_not(Holder.holds(at(200)));
}

/// A row that does not follow on the one held leaves nothing over.
Test(LeaseHolder, AnotherLifeLeavesNothing) {
  LeaseHolder Holder("self", Timing());
  Holder.adopt(rowWith({"a", "b", "c"}), First, at(0));
  acknowledge(Holder, "a", at(100));
  acknowledge(Holder, "b", at(100));

  LeaseRow Later = rowWith({"a", "b", "c"});
  Later.Epoch = 2;
  Holder.adopt(Later, Second, at(200));
  cr_assert_not(Holder.holds(at(200)));
}

/// Having voted a version expired, a witness never renews it again.
Test(Witness, VoteBinds) {
  Witness Judge("w", 5, Timing(), at(0));
  cr_assert(Judge.renew(renewal(First), at(0)));
  cr_assert_not(Judge.vote(question(First), at(1000)).VersionExpired);
  cr_assert(Judge.renew(renewal(First), at(1000)));

  int Late = 1000 + votingAge();
  cr_assert(Judge.vote(question(First), at(Late)).VersionExpired);
  cr_assert_not(Judge.renew(renewal(First), at(Late)));
  cr_assert(Judge.vote(question(First), at(Late)).VersionExpired);
  cr_assert(Judge.renew(renewal(Second), at(Late)));
}

/// An earlier process of this instance may have acknowledged a renewal up to
/// the moment at which this one began.
Test(Witness, RestartedOneWaitsALease) {
  Witness Judge("w", 6, Timing(), at(0));
  cr_assert_not(Judge.vote(question(First), at(100)).VersionExpired);
  cr_assert(Judge.vote(question(First), at(votingAge())).VersionExpired);
}

/// Versions that were replaced, and lives that were ended, are refused.
Test(Witness, RefusesWhatWasReplaced) {
  Witness Judge("w", 5, Timing(), at(0));
  LeaseRow Row = rowWith({"w", "b", "c"});
  Row.PreviousVersion = First;
  Judge.onLeaseRow("holder", Row, Second, at(0));

  cr_assert(Judge.renew(renewal(First), at(1)));
  cr_assert(Judge.renew(renewal(Second), at(1)));
  cr_assert_not(Judge.renew(renewal(First - 1), at(1)));
  cr_assert_not(Judge.renew(renewal(Second, 2), at(1)));

  Row.State = LeaseState::Expired;
  Judge.onLeaseRow("holder", Row, Second + 1, at(2));
  cr_assert_not(Judge.renew(renewal(Second), at(3)));
}

/// After standing still, a witness first reads what waits for it.
Test(Witness, PauseIsNotTakenForSilence) {
  Witness Judge("w", 5, Timing(), at(0));
  Judge.onLeaseRow("holder", rowWith({"w", "b", "c"}), First, at(0));
  cr_assert(Judge.overdueHolders(at(1000)).empty());

  int Resumed = 10000;
  Judge.onResume(at(Resumed));
  cr_assert(Judge.overdueHolders(at(Resumed + 10)).empty());
  cr_assert_eq(Judge.overdueHolders(at(Resumed + votingAge())).size(), 1);
}
