#include "mesh/StoreSync.h"
#include "mesh/store_access/StoreEra.h"

#include <criterion/criterion.h>
#include <thread>

using namespace hemlockspar;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A store whose calls stay unanswered until the test answers them.
class UnansweringStore : public Store {
public:
  void commit(const TableTransaction &, CommitCallback OnDone) override {
    ++this->CommitCount;
    this->OnCommitted = std::move(OnDone);
  }
  void readTable(const std::string &Table, ReadCallback OnDone) override {
    ++this->ReadCounts[Table];
    this->Reads[Table] = std::move(OnDone);
  }
  void follow(const std::string &Table, RowVersion After, Duration Wait,
              FollowCallback OnDone) override {
    if (Table == tables::Operator) {
      this->Waits.push_back(Wait);
      this->Versions.push_back(After);
      this->OnFollowed = std::move(OnDone);
    }
  }

  void answerRead(RowVersion Version, const char *Table = tables::Operator,
                  std::vector<TableRow> Rows = {}) {
    StoreRows Read;
    Read.Table = Table;
    Read.Version = Version;
    Read.Complete = true;
    Read.Rows = std::move(Rows);
    this->Reads.at(Table)(Read);
  }

  std::map<std::string, ReadCallback> Reads;
  std::map<std::string, int> ReadCounts;

  /// Requested waits for changes of the operators' table.
  std::vector<Duration> Waits;

  /// Versions after which changes were asked for.
  std::vector<RowVersion> Versions;
  FollowCallback OnFollowed;
  int CommitCount = 0;
  CommitCallback OnCommitted;
};

class NoConfigurations : public ConfigurationCodec {
public:
  std::string rowName() const override { return "config"; }
  std::optional<std::string>
  evacuatedDataCenter(const std::string &Row) const override {
    return Row.starts_with("evacuate/") ? std::optional(Row.substr(9))
                                        : std::nullopt;
  }
  absl::StatusOr<Configuration> decode(const std::string &) const override {
    return absl::InvalidArgumentError("none");
  }
};

/// An answer with \p Rows, complete up to \p Version.
FollowResult changesUpTo(RowVersion Version, std::vector<TableRow> Rows) {
  FollowResult Result;
  Result.Outcome = FollowOutcome::Changes;
  Result.Rows.Table = tables::Operator;
  Result.Rows.Version = Version;
  Result.Rows.Rows = std::move(Rows);
  return Result;
}

RowVersion inEra(std::uint64_t Era, std::uint64_t Number) {
  return StoreVersion{Era, Number}.rowVersion();
}

struct SyncFixture {
  SyncFixture() { this->Sync.start(); }

  /// The next call of the feed finds that the store was restored, and reads the
  /// table at \p Version.
  void restoreStore(RowVersion Version, std::vector<TableRow> Rows = {}) {
    FollowResult Dropped;
    Dropped.Outcome = FollowOutcome::HistoryLost;
    this->Remote.OnFollowed(Dropped);
    this->Remote.answerRead(Version, tables::Operator, std::move(Rows));
  }

  boost::asio::io_context Io;
  UnansweringStore Remote;
  MeshView View;
  NoConfigurations Codec;
  MeshSettings Config;
  StoreSync Sync{Io, Remote, View, Codec, Config};
};

} // namespace

/// A wait that is lost after an earlier call has failed must not go unnoticed.
Test(StoreSync, WaitThatIsLostAfterAFailureIsNotChecked) {
  SyncFixture Fixture;
  Fixture.Remote.answerRead(10);
  Fixture.Remote.OnFollowed(FollowResult());
  Fixture.Io.run_for(seconds(1));
  cr_assert_eq(Fixture.Remote.Waits.size(), 2);

  Fixture.Sync.checkOperatorRows(BootClock::now() + seconds(3));
  cr_assert_eq(Fixture.Remote.Waits.size(), 3);
  cr_assert(Fixture.Remote.Waits.back() == Duration::zero());

  // One check at a time.
  Fixture.Sync.checkOperatorRows(BootClock::now() + seconds(5));
  cr_assert_eq(Fixture.Remote.Waits.size(), 3);
}

/// A change that only a check has found shows that the pending wait is lost: it
/// must not be waited for any longer.
Test(StoreSync, LostWaitIsReplacedOnceACheckHasFoundAChange) {
  SyncFixture Fixture;
  Fixture.Remote.answerRead(10);
  Store::FollowCallback Lost = Fixture.Remote.OnFollowed;
  Fixture.Sync.checkOperatorRows(BootClock::now() + seconds(3));
  Fixture.Remote.OnFollowed(changesUpTo(20, {{"op/evacuate/x", 15, "{}"}}));
  cr_assert_eq(Fixture.Remote.Waits.size(), 3);
  cr_assert_gt(Fixture.Remote.Waits.back(), seconds(1));

  // Its late end begins no second wait.
  Lost(FollowResult());
  Fixture.Io.run_for(seconds(1));
  cr_assert_eq(Fixture.Remote.Waits.size(), 3);
}

/// While the feed pauses after a failure, the store is not asked twice.
Test(StoreSync, PausedFeedIsNotChecked) {
  SyncFixture Fixture;
  Fixture.Remote.answerRead(10);
  Fixture.Remote.OnFollowed(FollowResult());
  Fixture.Sync.checkOperatorRows(BootClock::now() + seconds(3));
  cr_assert_eq(Fixture.Remote.Waits.size(), 1);
}

/// A read of the whole table that is lost after the history was dropped must
/// not go unnoticed either.
Test(StoreSync, LostReadAfterTheHistoryWasDroppedIsNotChecked) {
  SyncFixture Fixture;
  Fixture.Remote.answerRead(10);
  FollowResult Dropped;
  Dropped.Outcome = FollowOutcome::HistoryLost;
  Fixture.Remote.OnFollowed(Dropped);
  Fixture.Sync.checkOperatorRows(BootClock::now() + seconds(3));
  cr_assert_eq(Fixture.Remote.Waits.size(), 2);
}

/// An answer without changes before the end of the wait says nothing of the
/// rest of the wait.
Test(StoreSync, EarlyAnswerConfirmsTheWholeWait) {
  SyncFixture Fixture;
  Fixture.Remote.answerRead(10);
  Fixture.Remote.OnFollowed(changesUpTo(12, {}));
  Fixture.Io.run_for(seconds(1));
  auto Age =
      Fixture.View.operatorFreshness().age(BootClock::now() + seconds(1));
  cr_assert(Age && *Age >= seconds(1));
  std::size_t Calls = Fixture.Remote.Waits.size();
  cr_assert_leq(Calls, 4, "%zu calls", Calls);

  Fixture.Sync.checkOperatorRows(BootClock::now() + seconds(3));
  cr_assert_eq(Fixture.Remote.Waits.size(), Calls + 1);
  cr_assert(Fixture.Remote.Waits.back() == Duration::zero());
}

/// A configuration that can't be read is not in force, so that the knowledge of
/// it is not confirmed, and it is read again.
Test(StoreSync, UnreadableConfigurationCountsAsKnown) {
  SyncFixture Fixture;
  Fixture.Remote.answerRead(10);
  Fixture.Remote.OnFollowed(changesUpTo(20, {{"op/config", 15, "{"}}));
  TimePoint Later = BootClock::now() + seconds(3);
  Fixture.View.operatorFreshness().confirmByPeer({15, milliseconds(0)}, Later,
                                                 Later);
  cr_assert(*Fixture.View.operatorFreshness().age(Later) > seconds(2));

  Fixture.Sync.checkOperatorRows(Later);
  cr_assert(Fixture.Remote.Waits.back() == Duration::zero());
  cr_assert_lt(Fixture.Remote.Versions.back(), 15);
}

/// A check that finds the history dropped restarts the feed, or each further
/// check costs a read of the whole table.
Test(StoreSync, EachCheckReadsTheTableAfterTheHistoryWasDropped) {
  SyncFixture Fixture;
  Fixture.Remote.answerRead(10);
  FollowResult Dropped;
  Dropped.Outcome = FollowOutcome::HistoryLost;
  for (int Check = 1; Check <= 3; ++Check) {
    Fixture.Sync.checkOperatorRows(BootClock::now() + seconds(3 * Check));
    if (Fixture.Remote.Versions.back() < 30) {
      Fixture.Remote.OnFollowed(Dropped);
      Fixture.Remote.answerRead(30);
    }
  }
  cr_assert_eq(Fixture.Remote.ReadCounts[tables::Operator], 2);
  cr_assert_eq(Fixture.Remote.Versions.back(), 30);
}

/// When one table's feed finds that the store was restored, rows of the others
/// are gone too, though their waits have not ended.
Test(StoreSync, RestoredStoreLeavesOtherTablesOutdated) {
  SyncFixture Fixture;
  Fixture.Remote.answerRead(inEra(1, 10));
  Fixture.Remote.answerRead(inEra(1, 10), tables::Instances);
  Fixture.Remote.answerRead(inEra(1, 10), tables::Keys);
  cr_assert_eq(Fixture.Remote.ReadCounts[tables::Instances], 1);

  Fixture.restoreStore(inEra(2, 5));
  cr_assert_eq(Fixture.Remote.ReadCounts[tables::Instances], 2);
  cr_assert_eq(Fixture.Remote.ReadCounts[tables::Keys], 2);
}

/// The instance's own row is written again when a restored store has lost it.
Test(StoreSync, RestoredStoreLosesTheOwnRow) {
  SyncFixture Fixture;
  Fixture.Remote.answerRead(inEra(1, 10));
  Fixture.Remote.answerRead(inEra(1, 10), tables::Instances);
  InstanceRow Own;
  Own.Instance = "d0";
  Own.PeerAddress = {"10.0.0.1", 7000};
  Fixture.Sync.setOwnRow(Own);
  StoreCommit Committed;
  Committed.Result = {CommitOutcome::Committed, inEra(1, 11)};
  Fixture.Remote.OnCommitted(Committed);
  cr_assert_eq(Fixture.Remote.CommitCount, 1);

  Fixture.restoreStore(inEra(2, 5));
  Fixture.Remote.answerRead(inEra(2, 5), tables::Instances);
  cr_assert_eq(Fixture.Remote.CommitCount, 2);
}

/// An evacuation that a restored store has lost stays in force while operators
/// write it again, but not for good.
Test(StoreSync, RestoredStoreWithdrawsAnEvacuation) {
  SyncFixture Fixture;
  Fixture.Remote.answerRead(inEra(1, 10), tables::Operator,
                            {{"op/evacuate/x", inEra(1, 9), "{}"}});
  cr_assert(Fixture.View.isEvacuated("x"));
  Fixture.restoreStore(inEra(2, 5));
  cr_assert(Fixture.View.isEvacuated("x"));

  std::this_thread::sleep_for(milliseconds(3100));
  Fixture.Sync.checkOperatorRows(BootClock::now());
  Fixture.Remote.answerRead(inEra(2, 20));
  cr_assert_not(Fixture.View.isEvacuated("x"));
}

/// A version that others have may be on its way here, and large: the table is
/// not read beside it.
Test(StoreSync, NewerVersionElsewhereReadsTheWholeTable) {
  SyncFixture Fixture;
  Fixture.Remote.answerRead(10);
  Fixture.Sync.onPeerConfiguration(5);
  Fixture.Io.run_for(milliseconds(600));
  cr_assert_eq(Fixture.Remote.Waits.size(), 1);

  Fixture.Io.run_for(milliseconds(600));
  cr_assert_eq(Fixture.Remote.Waits.size(), 2);
  cr_assert(Fixture.Remote.Waits.back() == Duration::zero());
  cr_assert_eq(Fixture.Remote.ReadCounts[tables::Operator], 1);
}
