#include "mesh/KeyOwnershipManager.h"
#include "mesh/FleetScale.h"
#include "mesh/ReportGrants.h"

#include <criterion/criterion.h>

using namespace hemlockspar;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A manager whose requested operations the test records and answers.
struct ManagerFixture : KeyOwnershipActions {
  ManagerFixture()
      : Grants(milliseconds(1000), seconds(4), this->Now),
        Manager("i1", 7, {milliseconds(1000), seconds(10)}, View, Grants, *this,
                this->Now) {
    this->Report.Service = "menus";
    this->Report.Incarnation = {"s1", 5};
    this->Report.Slots = 6;
  }

  void commitLease(const TableTransaction &) override { ++this->LeaseWrites; }
  void commitMap(const TableTransaction &Write) override {
    this->MapWrites.push_back(Write);
  }
  void readLeases() override { ++this->LeaseReads; }
  void readKeys() override { ++this->KeyReads; }
  void readInstances() override { ++this->InstanceReads; }
  void sendOffer(const InstanceId &, double) override {}
  void notifyOwners(const std::set<InstanceId> &Owners) override {
    this->Notified = Owners;
  }
  void onKeyEvent(KeyEvent, const std::string &) override {}

  /// Acquires the lease, in a mesh where this instance and i2 each own half of
  /// the keys.
  void acquireLease() {
    StoreRows Leases;
    Leases.StoreClock = seconds(100);
    this->Manager.onLeasesRead(Leases, this->Now, this->Now);
    cr_assert_eq(this->LeaseWrites, 1);
    this->Manager.onLeaseCommit(
        {{CommitOutcome::Committed, 3}, {}, seconds(100)}, this->Now,
        this->Now);

    KeyMap Map;
    Map.assign({0, 29999}, {"i1", this->Report.Incarnation}, "");
    Map.assign({30000, MaxKey}, {"i2", {"s2", 6}}, "");
    this->applyMap(Map, 4, true);
    this->report();
  }

  void applyMap(const KeyMap &Map, RowVersion Version, bool Complete) {
    this->View.apply({tables::Keys,
                      Version,
                      Complete,
                      {{MeshView::keyMapKey("menus"), Version, Map.toText()}},
                      std::nullopt});
  }

  /// Adds \p Name, with an active lease.
  void addInstance(const InstanceId &Name,
                   const std::string &DataCenter = "north-a") {
    InstanceRow Row;
    Row.DataCenter = DataCenter;
    Row.Instance = Name;
    Row.Service = "menus";
    Row.Slots = 6;
    Row.Incarnation = {"s-" + Name, 6};
    Row.State = ServerState::Ready;
    Row.PeerAddress = {"10.0.0.2", 7000};
    this->View.apply(
        {tables::Instances,
         ++this->LastRow,
         false,
         {{MeshView::instanceKey(Name), this->LastRow, Row.toText()}},
         std::nullopt});
    KeyLeaseRow Lease;
    Lease.Process = Name == "i1" ? 7 : 8;
    Lease.Until = seconds(1000);
    this->LeaseRows.push_back({KeyLeaseRow::key(Name), 5, Lease.toText()});
  }

  /// Answers a read of the lease table.
  void answerLeases() {
    StoreRows Leases;
    Leases.StoreClock = seconds(100);
    Leases.Rows = this->LeaseRows;
    this->Manager.onLeasesRead(Leases, this->Now, this->Now);
  }

  void report() {
    ++this->Report.Sequence;
    this->Manager.onReport(this->Report, this->Now);
  }

  TimePoint Now{seconds(500)};
  MeshView View;
  RowVersion LastRow = 100;
  std::vector<TableRow> LeaseRows;
  ServerReport Report;
  int LeaseWrites = 0;
  int KeyReads = 0;
  int LeaseReads = 0;
  int InstanceReads = 0;
  std::vector<TableTransaction> MapWrites;
  std::set<InstanceId> Notified;
  ReportGrants Grants;
  KeyOwnershipManager Manager;
};

} // namespace

/// The response to a report may be delayed and recomputed several times; keys
/// must be served only once they have been granted in a response that was sent
/// to the backend server.
Test(KeyOwnershipManager, ServesOnlyIssuedGrants) {
  ManagerFixture Fixture;
  Fixture.acquireLease();
  auto Planned = Fixture.Manager.computeGrants(Fixture.Now, Fixture.Now);
  cr_assert(Planned && Planned->Granted.size() == 1);
  cr_assert_not(Fixture.Manager.canServe(7, Fixture.Now));

  cr_assert(Fixture.Manager.issueGrants(Fixture.Now, Fixture.Now));
  cr_assert(Fixture.Manager.canServe(7, Fixture.Now));
  cr_assert_not(Fixture.Manager.canServe(30000, Fixture.Now));
}

/// A conflicting write of the key map returns the current row: the manager must
/// not read the table, and its next write must be conditional on that row.
Test(KeyOwnershipManager, RetriesOnRowReturnedByConflict) {
  ManagerFixture Fixture;
  Fixture.acquireLease();
  Fixture.Report.Incarnation = {"s1b", 9};
  Fixture.report();
  cr_assert_eq(Fixture.MapWrites.size(), 1,
               "the new incarnation adopts its keys");

  KeyMap Map = Fixture.View.findKeyMap("menus")->Map;
  Map.assign({40000, 40100}, {"i3", {"s3", 2}}, "");
  TableRow Current = {MeshView::keyMapKey("menus"), 8, Map.toText()};
  Fixture.View.apply({tables::Keys, 0, false, {Current}, std::nullopt});
  int ReadsBefore = Fixture.KeyReads;
  Fixture.Manager.onMapCommit(
      {{CommitOutcome::Conflict, 0}, {Current}, seconds(100)}, Fixture.Now);
  cr_assert_eq(Fixture.KeyReads, ReadsBefore);

  Fixture.Now += milliseconds(100);
  Fixture.Manager.tick(Fixture.Now);
  cr_assert_eq(Fixture.MapWrites.size(), 2);
  cr_assert_eq(Fixture.MapWrites[1].Conditions.back().Version, 8);
}

/// The instance that writes the key map must notify the instances that receive
/// keys by it.
Test(KeyOwnershipManager, NotifiesNewOwners) {
  ManagerFixture Fixture;
  Fixture.acquireLease();
  InstanceRow Other;
  Other.Instance = "i2";
  Other.Service = "menus";
  Other.Slots = 6;
  Other.Incarnation = {"s2", 6};
  Other.State = ServerState::Ready;
  Other.PeerAddress = {"10.0.0.2", 7000};
  Fixture.View.apply({tables::Instances,
                      6,
                      false,
                      {{MeshView::instanceKey("i2"), 6, Other.toText()}},
                      std::nullopt});
  StoreRows Leases;
  Leases.StoreClock = seconds(100);
  KeyLeaseRow Lease;
  Lease.Until = seconds(108);
  Leases.Rows = {{KeyLeaseRow::key("i2"), 5, Lease.toText()}};
  KeyLeaseRow Own;
  Own.Process = 7;
  Own.Until = seconds(108);
  Leases.Rows.push_back({KeyLeaseRow::key("i1"), 3, Own.toText()});
  Fixture.Manager.onLeasesRead(Leases, Fixture.Now, Fixture.Now);

  Fixture.Manager.onLeaving(Fixture.Now);
  Fixture.Report.Leaving = true;
  Fixture.Report.Released = {{{0, 29999}, "state"}};
  Fixture.report();
  Fixture.Manager.tick(Fixture.Now);
  cr_assert_geq(Fixture.MapWrites.size(), 1);
  Fixture.Manager.onMapCommit({{CommitOutcome::Committed, 9}, {}, seconds(100)},
                              Fixture.Now);
  cr_assert(Fixture.Notified == std::set<InstanceId>{"i2"});
}

/// Instances whose rows have not reached the view must not be left out of the
/// initial layout: before it is written, the table of instances is read, and a
/// candidate that is found there starts the wait again.
Test(KeyOwnershipManager, InitialLayoutIsConfirmedByAFreshRead) {
  ManagerFixture Fixture;
  Fixture.View.apply({tables::Keys, 200, true, {}, std::nullopt});
  Fixture.addInstance("i1");
  Fixture.answerLeases();
  Fixture.report();
  auto RunFor = [&](Duration Span) {
    for (TimePoint End = Fixture.Now + Span; Fixture.Now < End;) {
      Fixture.Now += milliseconds(100);
      Fixture.Manager.tick(Fixture.Now);
      Fixture.answerLeases();
    }
  };

  RunFor(milliseconds(2000));
  cr_assert_eq(Fixture.InstanceReads, 1);
  cr_assert(Fixture.MapWrites.empty());

  Fixture.addInstance("i2");
  Fixture.Manager.onInstancesRead(true, Fixture.Now);
  RunFor(milliseconds(1000));
  cr_assert(Fixture.MapWrites.empty());
  RunFor(milliseconds(1000));
  cr_assert_eq(Fixture.InstanceReads, 2);
  Fixture.Manager.onInstancesRead(true, Fixture.Now);
  RunFor(milliseconds(1000));
  cr_assert_eq(Fixture.MapWrites.size(), 1);
  auto Map = KeyMap::fromText(*Fixture.MapWrites[0].Writes.back().Value);
  cr_assert(Map && Map->keyCount("i1") == Map->keyCount("i2"));
}

/// In a fleet of 300 daemons, 45 quiet seconds: an owner reads the lease table
/// so rarely that all 110 owners together make no more calls than 30 owners of
/// a small fleet.
Test(KeyOwnershipManager, LeaseReadsOfALargeFleetAreBounded) {
  auto ReadsIn = [](int Fleet) {
    ManagerFixture Fixture;
    Fixture.acquireLease();
    for (int Index = 1; Index <= Fleet; ++Index) {
      Fixture.addInstance("i" + std::to_string(Index));
    }
    Fixture.LeaseReads = 0;
    for (int Tenth = 0; Tenth < 450; ++Tenth) {
      Fixture.Now += milliseconds(100);
      Fixture.Manager.tick(Fixture.Now);
      Fixture.answerLeases();
    }
    return Fixture.LeaseReads;
  };
  cr_assert_leq(ReadsIn(300) * 110, ReadsIn(60) * 30);
}

/// A write of the lease without an answer must be followed by a read at once,
/// however large the fleet is: nothing can be renewed before it.
Test(KeyOwnershipManager, LostAnswerIsResolvedAtOnceInALargeFleet) {
  ManagerFixture Fixture;
  Fixture.acquireLease();
  for (int Index = 1; Index <= 300; ++Index) {
    Fixture.addInstance("i" + std::to_string(Index));
  }
  Fixture.answerLeases();
  Fixture.Now += milliseconds(3500);
  Fixture.Manager.tick(Fixture.Now);
  Fixture.Manager.onLeaseCommit({{CommitOutcome::Unknown, 0}, {}, std::nullopt},
                                Fixture.Now, Fixture.Now);
  Fixture.answerLeases();
  Fixture.Now += milliseconds(800);
  int ReadsBefore = Fixture.LeaseReads;
  Fixture.Manager.onLeaseCommit({{CommitOutcome::Unknown, 0}, {}, std::nullopt},
                                Fixture.Now, Fixture.Now);
  cr_assert_eq(Fixture.LeaseReads, ReadsBefore + 1);
}

Test(FleetScale, IntervalsStretchWithTheFleet) {
  cr_assert(stretchInterval(seconds(2), 18, seconds(30)) == seconds(2));
  cr_assert(stretchInterval(seconds(2), 60, seconds(30)) == seconds(2));
  cr_assert(stretchInterval(seconds(2), 300, seconds(30)) == seconds(10));
  cr_assert(stretchInterval(seconds(9), 540, seconds(30)) == seconds(30));
  cr_assert(stretchInterval(seconds(9), 540, seconds(5)) == seconds(9));
}

/// An owner in an evacuated data centre must hand its keys over, decline offers
/// meanwhile, and accept keys again once the evacuation has ended.
Test(KeyOwnershipManager, EvacuatedOwnerHandsItsKeysOver) {
  ManagerFixture Fixture;
  Fixture.addInstance("i1", "north-a");
  Fixture.addInstance("i2", "north-b");
  Fixture.acquireLease();
  Fixture.answerLeases();
  cr_assert(Fixture.Manager.onOffer(0.9, Fixture.Now).Accepted);

  Fixture.View.setEvacuated({"north-a"}, 300);
  cr_assert_not(Fixture.Manager.onOffer(0.9, Fixture.Now).Accepted);
  Fixture.Report.Released = {{{0, 29999}, "state"}};
  Fixture.report();
  Fixture.report();
  cr_assert_geq(Fixture.MapWrites.size(), 1);
  auto Written = KeyMap::fromText(*Fixture.MapWrites[0].Writes[0].Value);
  cr_assert(Written && Written->keyCount("i2") == MaxKey + 1);

  Fixture.View.setEvacuated({}, 301);
  Fixture.Manager.onMapCommit({{CommitOutcome::Committed, 9}, {}, seconds(100)},
                              Fixture.Now);
  Fixture.applyMap(*Written, 9, true);
  cr_assert(Fixture.Manager.onOffer(0.9, Fixture.Now).Accepted);
}

/// When every data centre of a service is evacuated, owners must keep their
/// keys: handing them round would move them without end.
Test(KeyOwnershipManager, KeysStayWhenAllIsEvacuated) {
  ManagerFixture Fixture;
  Fixture.addInstance("i1", "north-a");
  Fixture.addInstance("i2", "north-b");
  Fixture.acquireLease();
  Fixture.answerLeases();
  Fixture.View.setEvacuated({"north-a", "north-b"}, 300);
  Fixture.Report.Released = {{{0, 29999}, "state"}};
  Fixture.report();
  Fixture.report();
  cr_assert_eq(Fixture.MapWrites.size(), 0);
}

/// When the address of a backend server goes to a server of another service,
/// the keys of the former service must not stay with this instance for good,
/// but must be kept until no earlier grant can be held any more.
Test(KeyOwnershipManager, GivesUpKeysOfAFormerService) {
  ManagerFixture Fixture;
  Fixture.addInstance("i1");
  Fixture.addInstance("i2", "north-b");
  Fixture.acquireLease();
  Fixture.answerLeases();

  Fixture.Report.Service = "rosters";
  Fixture.Report.Incarnation = {"s9", 9};
  Fixture.report();
  Fixture.Now += seconds(4);
  Fixture.report();
  cr_assert_eq(Fixture.MapWrites.size(), 0, "earlier grants may be held");

  Fixture.Now += milliseconds(200);
  Fixture.report();
  cr_assert_eq(Fixture.MapWrites.size(), 1);
  const TableTransaction &Write = Fixture.MapWrites[0];
  cr_assert_eq(Write.Writes[0].Key, MeshView::keyMapKey("menus"));
  auto Written = KeyMap::fromText(*Write.Writes[0].Value);
  cr_assert(Written && Written->keyCount("i2") == MaxKey + 1);
  cr_assert_eq(Write.Conditions.size(), 2, "bound to the lease and the map");
}
