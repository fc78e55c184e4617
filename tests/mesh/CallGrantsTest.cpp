#include "mesh/CallGrants.h"

#include <criterion/criterion.h>

using namespace hemlockspar;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr auto Hold = milliseconds(3000);

/// Records the calls, which the test answers.
struct GrantsFixture : GrantCalls {
  GrantsFixture() : Grants(*this, Hold, this->Now) {
    // Grants of an earlier process would delay releases.
    this->Now += seconds(10);
  }

  void grant(GrantCallNumber Number, const GrantedKeys &Grant,
             Duration) override {
    this->Granted.push_back({Number, Grant});
  }
  void release(GrantCallNumber Number, const GrantedKeys &Grant) override {
    this->Released.push_back({Number, Grant});
  }

  void update() { this->Grants.update(this->Wanted, this->Revoked, this->Now); }

  void acceptAll() {
    for (const auto &[Number, Grant] : this->Granted) {
      this->Grants.onGrantResult(Number, GrantOutcome::Accepted, this->Now);
    }
    this->Granted.clear();
  }

  TimePoint Now{seconds(500)};
  std::vector<std::pair<GrantCallNumber, GrantedKeys>> Granted;
  std::vector<std::pair<GrantCallNumber, GrantedKeys>> Released;
  std::optional<KeyGrants> Wanted = KeyGrants{{{{0, 999}, 5, "state"}}, Hold};
  std::vector<GrantedKeys> Revoked;
  CallGrants Grants;
};

} // namespace

/// The time of a grant counts from the arrival of the call, which may be any
/// time before the answer: keys are served for the time counted from the
/// sending, and may be held for the time counted from the answer.
Test(CallGrants, TimeCountsFromArrival) {
  GrantsFixture Fixture;
  TimePoint SentAt = Fixture.Now;
  Fixture.update();
  cr_assert_eq(Fixture.Granted.size(), 1);
  cr_assert(Fixture.Granted[0].second.HandoverState == "state");
  cr_assert_not(Fixture.Grants.holds(7, Fixture.Now));

  Fixture.Now += milliseconds(50);
  Fixture.acceptAll();
  cr_assert(Fixture.Grants.holds(7, SentAt + Hold - milliseconds(1)));
  cr_assert_not(Fixture.Grants.holds(7, SentAt + Hold));
  cr_assert_eq(
      Fixture.Grants.heldUntil({0, 10}).time_since_epoch().count(),
      (Fixture.Now + onSlowestServerClock(Hold)).time_since_epoch().count());
  cr_assert_lt(Fixture.Grants.heldUntil({1000, 1001}), Fixture.Now);
}

/// Lost answers must not end the service: a call without an answer is repeated
/// within a fraction of the time of the grant.
Test(CallGrants, RepeatsCallsWithoutAnswer) {
  GrantsFixture Fixture;
  Fixture.update();
  Fixture.update();
  cr_assert_eq(Fixture.Granted.size(), 1);
  Fixture.Now += milliseconds(110);
  Fixture.update();
  cr_assert_eq(Fixture.Granted.size(), 2);
  Fixture.acceptAll();
  cr_assert(Fixture.Grants.holds(999, Fixture.Now));

  Fixture.Now += milliseconds(500);
  Fixture.update();
  cr_assert(Fixture.Granted.empty());
  Fixture.Now += milliseconds(800);
  Fixture.update();
  cr_assert_eq(Fixture.Granted.size(), 1, "renewed before it expires");
}

/// A grant without an answer may be applied after the release was answered: the
/// keys count as released only once that grant would have expired.
Test(CallGrants, UnansweredGrantDelaysRelease) {
  GrantsFixture Fixture;
  Fixture.update();
  GrantCallNumber Lost = Fixture.Granted[0].first;
  TimePoint LostAt = Fixture.Now;
  Fixture.Granted.clear();
  Fixture.Now += milliseconds(110);
  Fixture.update();
  Fixture.acceptAll();

  Fixture.Revoked = {{{0, 499}, 5, ""}};
  Fixture.Wanted = KeyGrants{{{{500, 999}, 5, "state"}}, Hold};
  Fixture.update();
  cr_assert(Fixture.Released.empty(), "a grant is on its way");
  cr_assert_not(Fixture.Grants.holds(7, Fixture.Now));
  cr_assert(Fixture.Grants.holds(700, Fixture.Now));

  Fixture.Now = LostAt + CallGrants::CallTimeout;
  Fixture.Grants.onGrantResult(Lost, GrantOutcome::Unknown, Fixture.Now);
  Fixture.update();
  cr_assert_eq(Fixture.Released.size(), 1);
  Fixture.Grants.onReleaseResult(Fixture.Released[0].first, "text",
                                 Fixture.Now);
  cr_assert(Fixture.Grants.takeReleased(Fixture.Now).empty());

  TimePoint Expired =
      LostAt + CallGrants::CallTimeout + onSlowestServerClock(Hold);
  cr_assert(Fixture.Grants.takeReleased(Expired - milliseconds(1)).empty());
  auto Keys = Fixture.Grants.takeReleased(Expired);
  cr_assert_eq(Keys.size(), 1);
  cr_assert(Keys[0].Keys == KeyRange({0, 499}) &&
            Keys[0].HandoverState == "text");
  cr_assert(Fixture.Grants.takeReleased(Expired).empty());
}

/// With all grants answered, the answer to the release frees the keys at once.
Test(CallGrants, AnsweredReleaseFreesKeysAtOnce) {
  GrantsFixture Fixture;
  Fixture.update();
  Fixture.acceptAll();
  Fixture.Revoked = {{{0, 999}, 5, ""}};
  Fixture.Wanted->Granted.clear();
  Fixture.update();
  cr_assert_eq(Fixture.Released.size(), 1);

  // The server answers once the work on the keys has ended; meanwhile the call
  // is repeated a limited number of times.
  for (int Tenth = 0; Tenth < 40; ++Tenth) {
    Fixture.Now += milliseconds(100);
    Fixture.update();
  }
  cr_assert_leq(Fixture.Released.size(), 4);
  Fixture.Grants.onReleaseResult(Fixture.Released[0].first, "", Fixture.Now);
  cr_assert_eq(Fixture.Grants.takeReleased(Fixture.Now).size(), 1);
}

/// A server that has seen a higher token never accepts the grant: it is not
/// repeated, and the owner has to be given the keys under a new token.
Test(CallGrants, OutdatedTokenIsNotRepeated) {
  GrantsFixture Fixture;
  Fixture.update();
  Fixture.Grants.onGrantResult(Fixture.Granted[0].first,
                               GrantOutcome::TokenOutdated, Fixture.Now);
  cr_assert(Fixture.Grants.isTokenOutdated(Fixture.Wanted->Granted[0]));
  Fixture.Now += seconds(1);
  Fixture.update();
  cr_assert_eq(Fixture.Granted.size(), 1);

  Fixture.Wanted->Granted[0].Token = 6;
  cr_assert_not(Fixture.Grants.isTokenOutdated(Fixture.Wanted->Granted[0]));
  Fixture.update();
  cr_assert_eq(Fixture.Granted.size(), 2);
}

/// A server that rejects a request since it does not hold the key is granted
/// the key again at once.
Test(CallGrants, RefusedKeyIsGrantedAgain) {
  GrantsFixture Fixture;
  Fixture.update();
  Fixture.acceptAll();
  Fixture.Grants.onKeyRefused(3);
  cr_assert_not(Fixture.Grants.holds(3, Fixture.Now));
  Fixture.update();
  cr_assert_eq(Fixture.Granted.size(), 1);
}

/// A new process at the address holds nothing, but may still receive a call
/// that is on its way.
Test(CallGrants, NewServerProcessHoldsNothing) {
  GrantsFixture Fixture;
  Fixture.update();
  Fixture.acceptAll();
  Fixture.Grants.onServerEnded(Fixture.Now);
  cr_assert(Fixture.Grants.holdsNone(Fixture.Now));
  cr_assert_leq(Fixture.Grants.heldUntil({0, MaxKey}), Fixture.Now);

  Fixture.update();
  Fixture.Grants.onServerEnded(Fixture.Now);
  cr_assert_gt(Fixture.Grants.heldUntil({0, MaxKey}), Fixture.Now + Hold);
}
