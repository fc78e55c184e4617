#include "mesh/KeyKeeper.h"

#include <criterion/criterion.h>

using namespace hemlockspar;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// One keeper whose calls are written down and answered by the test.
struct KeeperBox : KeyKeeperActions {
  KeeperBox()
      : Keeper("i1", 7, {milliseconds(1000), seconds(10)}, View, *this,
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
  void offer(const InstanceId &, double) override {}
  void tell(const std::set<InstanceId> &Owners) override {
    this->Told = Owners;
  }
  void decided(KeyEvent, const std::string &) override {}

  /// Gets the lease, in a mesh where this instance and i2 own half of the keys
  /// each.
  void hold() {
    StoreRows Leases;
    Leases.StoreClock = seconds(100);
    this->Keeper.onLeases(Leases, this->Now, this->Now);
    cr_assert_eq(this->LeaseWrites, 1);
    this->Keeper.onLeaseCommit(
        {{CommitOutcome::Committed, 3}, {}, seconds(100)}, this->Now,
        this->Now);

    KeyMap Map;
    Map.assign({0, 29999}, {"i1", this->Report.Incarnation}, "");
    Map.assign({30000, MaxKey}, {"i2", {"s2", 6}}, "");
    this->showMap(Map, 4, true);
    this->report();
  }

  void showMap(const KeyMap &Map, RowVersion Version, bool Complete) {
    this->View.apply({tables::Keys,
                      Version,
                      Complete,
                      {{MeshView::keyMapKey("menus"), Version, Map.toText()}},
                      std::nullopt});
  }

  void report() {
    ++this->Report.Sequence;
    this->Keeper.onReport(this->Report, this->Now);
  }

  TimePoint Now{seconds(500)};
  MeshView View;
  ServerReport Report;
  int LeaseWrites = 0;
  int KeyReads = 0;
  std::vector<TableTransaction> MapWrites;
  std::set<InstanceId> Told;
  KeyKeeper Keeper;
};

} // namespace

/// An answer to a report may be put off while it is worked out again and
/// again; only what has gone out to the backend server is served.
Test(KeyKeeper, WhatIsOnlyPlannedIsNotServed) {
  KeeperBox Box;
  Box.hold();
  auto Planned = Box.Keeper.planGrants(Box.Now, Box.Now);
  cr_assert(Planned && Planned->Granted.size() == 1);
  cr_assert_not(Box.Keeper.serves(7, Box.Now));

  cr_assert(Box.Keeper.grant(Box.Now, Box.Now));
  cr_assert(Box.Keeper.serves(7, Box.Now));
  cr_assert_not(Box.Keeper.serves(30000, Box.Now));
}

/// A refused write of the map brings the row as it is: nothing is read, and
/// the next write is bound to that row.
Test(KeyKeeper, AConflictTellsTheRow) {
  KeeperBox Box;
  Box.hold();
  Box.Report.Incarnation = {"s1b", 9};
  Box.report();
  cr_assert_eq(Box.MapWrites.size(), 1, "the new run takes up its keys");

  KeyMap Map = Box.View.findKeyMap("menus")->Map;
  Map.assign({40000, 40100}, {"i3", {"s3", 2}}, "");
  TableRow Current = {MeshView::keyMapKey("menus"), 8, Map.toText()};
  Box.View.apply({tables::Keys, 0, false, {Current}, std::nullopt});
  int ReadsBefore = Box.KeyReads;
  Box.Keeper.onMapCommit(
      {{CommitOutcome::Conflict, 0}, {Current}, seconds(100)}, Box.Now);
  cr_assert_eq(Box.KeyReads, ReadsBefore);

  Box.Now += milliseconds(100);
  Box.Keeper.tick(Box.Now);
  cr_assert_eq(Box.MapWrites.size(), 2);
  cr_assert_eq(Box.MapWrites[1].Conditions.back().Version, 8);
}

/// Whoever gets keys is told of it by the one that wrote it.
Test(KeyKeeper, NewOwnersAreTold) {
  KeeperBox Box;
  Box.hold();
  InstanceRow Other;
  Other.Instance = "i2";
  Other.Service = "menus";
  Other.Slots = 6;
  Other.Incarnation = {"s2", 6};
  Other.State = ServerState::Ready;
  Other.PeerAddress = {"10.0.0.2", 7000};
  Box.View.apply({tables::Instances,
                  6,
                  false,
                  {{MeshView::instanceKey("i2"), 6, Other.toText()}},
                  std::nullopt});
  StoreRows Leases;
  Leases.StoreClock = seconds(100);
  KeyLease Lease;
  Lease.Until = seconds(108);
  Leases.Rows = {{KeyLease::key("i2"), 5, Lease.toText()}};
  KeyLease Own;
  Own.Process = 7;
  Own.Until = seconds(108);
  Leases.Rows.push_back({KeyLease::key("i1"), 3, Own.toText()});
  Box.Keeper.onLeases(Leases, Box.Now, Box.Now);

  Box.Keeper.onLeaving(Box.Now);
  Box.Report.Leaving = true;
  Box.Report.Released = {{{0, 29999}, "state"}};
  Box.report();
  Box.Keeper.tick(Box.Now);
  cr_assert_geq(Box.MapWrites.size(), 1);
  Box.Keeper.onMapCommit({{CommitOutcome::Committed, 9}, {}, seconds(100)},
                         Box.Now);
  cr_assert(Box.Told == std::set<InstanceId>{"i2"});
}
