#include "mesh/KeyOwnershipManager.h"
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
  void readLeases() override {}
  void readKeys() override { ++this->KeyReads; }
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

  void report() {
    ++this->Report.Sequence;
    this->Manager.onReport(this->Report, this->Now);
  }

  TimePoint Now{seconds(500)};
  MeshView View;
  ServerReport Report;
  int LeaseWrites = 0;
  int KeyReads = 0;
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
