#include "platform/StoreClient.h"

#include <absl/strings/str_cat.h>
#include <criterion/criterion.h>
#include <deque>

using namespace hemlockspar;
using std::chrono::seconds;

namespace {

/// Answers calls with the responses that the test has set, in order.
class ScriptedTransport : public StoreTransport {
public:
  void answer(unsigned Era, http::status Status, const std::string &Body) {
    HttpResponse Response(Status, 11);
    Response.set("Store-Era", std::to_string(Era));
    Response.body() = Body;
    this->Responses.push_back(std::move(Response));
  }

  ExchangeResult exchange(HttpRequest &, Duration,
                          const boost::asio::yield_context &) override {
    ++this->CallCount;
    ExchangeResult Result;
    Result.Outcome = ExchangeOutcome::Answered;
    Result.Response = std::move(this->Responses.front());
    this->Responses.pop_front();
    return Result;
  }

  ExchangeResult
  exchangeHedged(HttpRequest &Request, Duration Timeout,
                 const boost::asio::yield_context &Yield) override {
    return this->exchange(Request, Timeout, Yield);
  }

  std::deque<HttpResponse> Responses;
  int CallCount = 0;
};

std::string rowsText(unsigned Version, bool More = false) {
  return absl::StrCat(
      R"({"rows":[{"table_name":"op","part":"","key":"config","schema_ver":)",
      Version, R"(,"value":"e30="}],"schema_ver":)", Version,
      R"(,"now":"5s","has_more":)", More ? "true" : "false", "}");
}

std::string emptyText(unsigned Version) {
  return absl::StrCat(R"({"rows":[],"schema_ver":)", Version,
                      R"(,"now":"5s"})");
}

struct ClientFixture {
  std::optional<StoreRows> read() {
    std::optional<StoreRows> Result;
    this->Client.readTable(
        "op", [&](const std::optional<StoreRows> &Read) { Result = Read; });
    this->run();
    return Result;
  }

  FollowResult follow(RowVersion After) {
    FollowResult Result;
    this->Client.follow(
        "op", After, seconds(1),
        [&](const FollowResult &Followed) { Result = Followed; });
    this->run();
    return Result;
  }

  CommitOutcome commit(RowVersion Expected) {
    CommitOutcome Outcome = CommitOutcome::NotRun;
    this->Client.commit(
        {{{"hemlockspar/d0", Expected}}, {{"hemlockspar/d0", "{}"}}},
        [&](const StoreCommit &Commit) { Outcome = Commit.Result.Outcome; });
    this->run();
    return Outcome;
  }

  void run() {
    this->Io.restart();
    this->Io.run();
  }

  boost::asio::io_context Io;
  ScriptedTransport Transport;
  StoreClient Client{Io, Transport, seconds(1)};
};

} // namespace

/// Versions that a restored store gives out again must not look older than
/// those of before.
Test(StoreClient, RestoredRowsLookOlder) {
  ClientFixture Fixture;
  Fixture.Transport.answer(1, http::status::ok, rowsText(100));
  Fixture.Transport.answer(2, http::status::ok, rowsText(80));
  auto Before = Fixture.read();
  auto After = Fixture.read();
  cr_assert(Before && After);
  cr_assert_gt(After->Version, Before->Version);
  cr_assert_gt(After->Rows[0].Version, Before->Rows[0].Version);
}

/// A restored store that has passed the version asked for answers without the
/// changes that it gave an earlier version.
Test(StoreClient, ChangesAtReusedVersionsAreSkipped) {
  ClientFixture Fixture;
  Fixture.Transport.answer(1, http::status::ok, rowsText(100));
  Fixture.Transport.answer(2, http::status::ok, emptyText(120));
  RowVersion Known = Fixture.read()->Version;
  cr_assert_eq(Fixture.follow(Known).Outcome, FollowOutcome::HistoryLost);

  // The restoration is known now.
  cr_assert_eq(Fixture.follow(Known).Outcome, FollowOutcome::HistoryLost);
  cr_assert_eq(Fixture.Transport.CallCount, 2);
}

/// A response from before the restoration that arrives after one from after it
/// must not be taken for the present state.
Test(StoreClient, ResponseFromBeforeARestorationCounts) {
  ClientFixture Fixture;
  Fixture.Transport.answer(2, http::status::ok, rowsText(80));
  Fixture.Transport.answer(1, http::status::ok, emptyText(100));
  Fixture.Transport.answer(1, http::status::ok, rowsText(100));
  RowVersion Known = Fixture.read()->Version;
  cr_assert_eq(Fixture.follow(Known).Outcome, FollowOutcome::Failed);
  cr_assert_not(Fixture.read());
}

/// The pages of one read must not come from before and after a restoration.
Test(StoreClient, ReadSpansARestoration) {
  ClientFixture Fixture;
  Fixture.Transport.answer(1, http::status::ok, rowsText(100, true));
  Fixture.Transport.answer(2, http::status::ok, rowsText(80));
  cr_assert_not(Fixture.read());
}

/// A condition on a version from before the restoration may hold by chance for
/// another row text.
Test(StoreClient, ConditionHoldsForAReusedVersion) {
  ClientFixture Fixture;
  Fixture.Transport.answer(1, http::status::ok, rowsText(100));
  Fixture.Transport.answer(2, http::status::ok, emptyText(101));
  RowVersion Known = Fixture.read()->Version;
  cr_assert_eq(Fixture.commit(Known), CommitOutcome::Unknown);
  cr_assert_eq(Fixture.commit(Known), CommitOutcome::Conflict);
  cr_assert_eq(Fixture.Transport.CallCount, 2);
}

/// A write whose response was sent before a restoration may be lost.
Test(StoreClient, WriteFromBeforeARestorationCounts) {
  ClientFixture Fixture;
  Fixture.Transport.answer(2, http::status::ok, rowsText(80));
  Fixture.Transport.answer(1, http::status::ok, emptyText(101));
  Fixture.read();
  cr_assert_eq(Fixture.commit(0), CommitOutcome::Unknown);
}
