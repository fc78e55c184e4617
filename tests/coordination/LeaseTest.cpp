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

/// Acknowledges a renewal sent at \p Sent, as process \p Incarnation of \p
/// Witness.
void acknowledge(LeaseHolder &Holder, const std::string &Witness,
                 TimePoint Sent, Incarnation Incarnation = 5) {
  RenewalRequest Request{"self", Holder.version(), 1, 0};
  Holder.onRenewalReply(Witness, Request, {Incarnation, true, 0}, Sent);
}

Duration holderLeaseDuration() { return Timing().holderLeaseDuration(); }

RenewalRequest renewal(RowVersion Version, std::uint64_t Epoch = 1) {
  return {"holder", Version, Epoch, 0};
}

VoteRequest voteRequest(RowVersion Version) { return {"holder", Version, 0}; }

/// Milliseconds without renewal after which a witness votes a lease expired.
int expiryVoteAgeMs() {
  return static_cast<int>(toMilliseconds(Timing().witnessLeaseDuration())) + 1;
}

} // namespace

/// The lease starts at the latest send time that a majority has acknowledged.
Test(LeaseHolder, RunsFromTheMajoritysSendTime) {
  LeaseHolder Holder("self", Timing());
  Holder.adopt(rowWith({"a", "b", "c"}), First, at(0));
  cr_assert_not(Holder.holds(at(0)));

  acknowledge(Holder, "a", at(500));
  cr_assert_not(Holder.holds(at(500)));
  acknowledge(Holder, "b", at(100));
  cr_assert(Holder.expiresAt() == at(100) + holderLeaseDuration());
  acknowledge(Holder, "c", at(400));
  cr_assert(Holder.expiresAt() == at(400) + holderLeaseDuration());
}

/// Acknowledgements of another process under a witness's name do not count.
Test(LeaseHolder, IgnoresOtherProcesses) {
  LeaseHolder Holder("self", Timing());
  Holder.adopt(rowWith({"a", "b", "c"}), First, at(0));
  acknowledge(Holder, "a", at(100));
  acknowledge(Holder, "b", at(100), 6);
  acknowledge(Holder, "x", at(100));
  cr_assert_not(Holder.holds(at(100)));
}

/// Acknowledgements of the previous version count until the next row is
/// written, since a takeover of that row would not ask their witnesses.
Test(LeaseHolder, PreviousVersionEndsWithTheNextWrite) {
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

/// A row that does not replace the held one discards all acknowledgements.
Test(LeaseHolder, AnotherEpochDiscardsAcknowledgements) {
  LeaseHolder Holder("self", Timing());
  Holder.adopt(rowWith({"a", "b", "c"}), First, at(0));
  acknowledge(Holder, "a", at(100));
  acknowledge(Holder, "b", at(100));

  LeaseRow Later = rowWith({"a", "b", "c"});
  Later.Epoch = 2;
  Holder.adopt(Later, Second, at(200));
  cr_assert_not(Holder.holds(at(200)));
}

/// A witness that voted a version expired never acknowledges a renewal of it
/// again.
Test(Witness, VoteBinds) {
  Witness Voter("w", 5, Timing(), at(0));
  cr_assert(Voter.renew(renewal(First), at(0)));
  cr_assert_not(Voter.vote(voteRequest(First), at(1000)).VersionExpired);
  cr_assert(Voter.renew(renewal(First), at(1000)));

  int Late = 1000 + expiryVoteAgeMs();
  cr_assert(Voter.vote(voteRequest(First), at(Late)).VersionExpired);
  cr_assert_not(Voter.renew(renewal(First), at(Late)));
  cr_assert(Voter.vote(voteRequest(First), at(Late)).VersionExpired);
  cr_assert(Voter.renew(renewal(Second), at(Late)));
}

/// A restarted witness waits a full lease before it votes, because its earlier
/// process may have acknowledged a renewal until the restart.
Test(Witness, RestartedWitnessWaitsALease) {
  Witness Voter("w", 6, Timing(), at(0));
  cr_assert_not(Voter.vote(voteRequest(First), at(100)).VersionExpired);
  cr_assert(
      Voter.vote(voteRequest(First), at(expiryVoteAgeMs())).VersionExpired);
}

/// Renewals of replaced versions and of ended lease epochs are refused.
Test(Witness, RefusesReplacedVersions) {
  Witness Voter("w", 5, Timing(), at(0));
  LeaseRow Row = rowWith({"w", "b", "c"});
  Row.PreviousVersion = First;
  Voter.onLeaseRow("holder", Row, Second, at(0));

  cr_assert(Voter.renew(renewal(First), at(1)));
  cr_assert(Voter.renew(renewal(Second), at(1)));
  cr_assert_not(Voter.renew(renewal(First - 1), at(1)));
  cr_assert_not(Voter.renew(renewal(Second, 2), at(1)));

  Row.State = LeaseState::Expired;
  Voter.onLeaseRow("holder", Row, Second + 1, at(2));
  cr_assert_not(Voter.renew(renewal(Second), at(3)));
}

/// After a pause a witness must not report holders as overdue before it has
/// read the renewals that arrived meanwhile.
Test(Witness, PauseDoesNotMakeHoldersOverdue) {
  Witness Voter("w", 5, Timing(), at(0));
  Voter.onLeaseRow("holder", rowWith({"w", "b", "c"}), First, at(0));
  cr_assert(Voter.overdueHolders(at(1000)).empty());

  int Resumed = 10000;
  Voter.onResume(at(Resumed));
  cr_assert(Voter.overdueHolders(at(Resumed + 10)).empty());
  cr_assert_eq(Voter.overdueHolders(at(Resumed + expiryVoteAgeMs())).size(), 1);
}
