#include "mesh/InstancePicker.h"

#include <criterion/criterion.h>

using namespace hemlockspar;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct PickerFixture {
  PickerFixture() : Picker("north", "north-a", 1) {
    this->add("near", "north", "north-a");
    this->add("other", "north", "north-b");
    this->add("far", "south", "south-a");
    for (const char *Name : {"near", "other", "far"}) {
      this->load(Name, 0);
    }
  }

  void add(const std::string &Name, const std::string &Region,
           const std::string &DataCenter) {
    InstanceRow Row;
    Row.Instance = Name;
    Row.Region = Region;
    Row.DataCenter = DataCenter;
    Row.PeerAddress = {"10.0.0.1", 7000};
    Row.Service = "bookings";
    Row.Slots = 6;
    Row.State = ServerState::Ready;
    ++this->Version;
    this->View.apply(
        {tables::Instances,
         0,
         false,
         {{MeshView::instanceKey(Name), this->Version, Row.toText()}},
         std::nullopt});
  }

  void load(const std::string &Name, std::uint32_t Waiting) {
    ServerLoad Load = {6, Waiting, 6, 1.0, milliseconds(250)};
    Load.Running = Waiting > 0 ? 6 : 0;
    this->Picker.onLoadReported(Name, Load, this->Now);
  }

  std::string pick(const std::set<InstanceId> &Tried = {}) {
    return this->Picker.pick(this->View, "bookings", "r-1", Tried, this->Now)
        .value_or("none");
  }

  MeshView View;
  InstancePicker Picker;
  RowVersion Version = 0;
  TimePoint Now{std::chrono::seconds(60)};
};

} // namespace

/// At low load requests stay in their region, since inter-region traffic is
/// billed by the byte.
Test(InstancePicker, StaysInItsRegionWhileThereIsRoom) {
  PickerFixture Fixture;
  for (int Time = 0; Time < 100; ++Time) {
    cr_assert(Fixture.pick() != "far");
  }
}

/// A load peak that saturates one region moves requests to another region.
Test(InstancePicker, GoesToAnotherRegionWhenItsOwnIsFull) {
  PickerFixture Fixture;
  Fixture.load("near", 20);
  Fixture.load("other", 20);
  cr_assert(Fixture.pick() == "far");
}

Test(InstancePicker, TriesEachOnce) {
  PickerFixture Fixture;
  cr_assert(Fixture.pick({"near", "other"}) == "far");
  cr_assert(Fixture.pick({"near", "other", "far"}) == "none");
}

/// Requests must not queue up behind the timeouts of a machine that no longer
/// responds.
Test(InstancePicker, OneRequestAtATimeProbesUnreachable) {
  PickerFixture Fixture;
  Fixture.Picker.onUnreachable("near", Fixture.Now);
  Fixture.Picker.onUnreachable("other", Fixture.Now);
  Fixture.Picker.onUnreachable("far", Fixture.Now);
  cr_assert(Fixture.pick() == "none");

  Fixture.Now += milliseconds(260);
  std::set<std::string> Tried = {Fixture.pick(), Fixture.pick(),
                                 Fixture.pick()};
  cr_assert_eq(Tried.size(), 3);
  cr_assert(Fixture.pick() == "none");

  Fixture.Picker.onReachable("far");
  Fixture.Now += milliseconds(260);
  cr_assert(Fixture.pick() != "none");
}

/// Links of one data centre with a backlog of large responses: requests for
/// more of them must go to the other data centre and, when its links are no
/// better, leave the region only for more than that costs. Requests with small
/// responses must not move at all.
Test(InstancePicker, LinkBacklogMovesLargeResponses) {
  PickerFixture Fixture;
  constexpr double Bytes = 90000;
  auto PickLarge = [&] {
    return Fixture.Picker
        .pick(Fixture.View, "bookings", "r-1", {}, Fixture.Now, {}, Bytes)
        .value_or("none");
  };
  auto SetBacklog = [&](const char *Name, milliseconds Backlog) {
    ServerLoad Load = {0, 0, 6, 1.0, milliseconds(250)};
    Load.LinkBacklog = Backlog;
    Fixture.Picker.onLoadReported(Name, Load, Fixture.Now);
  };
  SetBacklog("near", milliseconds(200));
  for (int Time = 0; Time < 50; ++Time) {
    cr_assert(PickLarge() == "other");
    cr_assert(Fixture.pick() != "far");
  }

  SetBacklog("other", milliseconds(250));
  for (int Time = 0; Time < 50; ++Time) {
    cr_assert(PickLarge() != "far");
  }

  SetBacklog("near", milliseconds(700));
  SetBacklog("other", milliseconds(700));
  for (int Time = 0; Time < 50; ++Time) {
    cr_assert(PickLarge() == "far");
    cr_assert(Fixture.pick() != "far");
  }

  // A reported backlog has left after a while.
  Fixture.Now += seconds(3);
  for (int Time = 0; Time < 50; ++Time) {
    cr_assert(PickLarge() != "far");
  }
}

/// At equal load a large response stays in its data centre, where its bytes
/// cost nothing.
Test(InstancePicker, LargeResponsesStayInTheDataCentre) {
  PickerFixture Fixture;
  int Near = 0;
  for (int Time = 0; Time < 200; ++Time) {
    Near += Fixture.Picker.pick(Fixture.View, "bookings", "r-1", {},
                                Fixture.Now, {}, 360000) == "near"
                ? 1
                : 0;
  }
  cr_assert_gt(Near, 190);
}

Test(InstancePicker, NewInstanceInTheRegionGetsRequests) {
  PickerFixture Fixture;
  Fixture.add("new", "north", "north-b");
  cr_assert(Fixture.pick() == "new");
}

Test(InstancePicker, LeavingServersGetNoRequests) {
  PickerFixture Fixture;
  InstanceRow Row = *Fixture.View.findInstance("near");
  Row.State = ServerState::Leaving;
  Fixture.View.apply({tables::Instances,
                      0,
                      false,
                      {{MeshView::instanceKey("near"), 99, Row.toText()}},
                      std::nullopt});
  for (int Time = 0; Time < 20; ++Time) {
    cr_assert(Fixture.pick() != "near");
  }
}

/// Guards against rating an instance as fast because it has served short
/// requests. Two instances with equal run times per route, of which one has
/// served mostly short calls, must each receive about half of the requests.
Test(InstancePicker, ShortRequestsDoNotFavourAServer) {
  PickerFixture Fixture;
  for (int Time = 0; Time < 60; ++Time) {
    Fixture.Picker.recordRunTime("near", "call", milliseconds(50));
    Fixture.Picker.recordRunTime("other", "call", milliseconds(50));
    Fixture.Picker.recordRunTime("other", "order", milliseconds(500));
    Fixture.Picker.recordRunTime("near", "order", milliseconds(500));
  }
  ServerLoad Short = {0, 0, 6, 0, milliseconds(60)};
  ServerLoad Long = {0, 0, 6, 0, milliseconds(480)};
  Fixture.Picker.onLoadReported("near", Short, Fixture.Now);
  Fixture.Picker.onLoadReported("other", Long, Fixture.Now);

  std::map<std::string, int> PickCounts;
  for (int Time = 0; Time < 200; ++Time) {
    ++PickCounts[Fixture.Picker
                     .pick(Fixture.View, "bookings", "order", {}, Fixture.Now)
                     .value_or("none")];
  }
  cr_assert_geq(PickCounts["near"], 60);
  cr_assert_geq(PickCounts["other"], 60);
}

/// A backend server that takes twice as long on the same routes receives fewer
/// requests.
Test(InstancePicker, SlowServersGetFewerRequests) {
  PickerFixture Fixture;
  for (int Time = 0; Time < 60; ++Time) {
    Fixture.Picker.recordRunTime("near", "r-1", milliseconds(600));
    Fixture.Picker.recordRunTime("other", "r-1", milliseconds(300));
  }
  int Slow = 0;
  for (int Time = 0; Time < 100; ++Time) {
    Slow += Fixture.pick() == "near" ? 1 : 0;
  }
  cr_assert_lt(Slow, 10);
}

/// Instances in an evacuated data centre, or outside the homes of a route, must
/// not be chosen even when they are the only ones left.
Test(InstancePicker, ExcludesEvacuatedAndDisallowedInstances) {
  PickerFixture Fixture;
  Fixture.View.setEvacuated({"north-a"}, 5);
  cr_assert_neq(Fixture.pick(), "near");
  cr_assert_eq(Fixture.pick({"other", "far"}), "none");

  auto InSouth = [](const InstanceRow &Row) { return Row.Region == "south"; };
  auto Picked = Fixture.Picker.pick(Fixture.View, "bookings", "r-1", {},
                                    Fixture.Now, InSouth);
  cr_assert(Picked == InstanceId("far"));
}

/// A machine that is slow for a moment must be avoided for that moment only,
/// and a server that is slow by itself for good: a picker that learned the one
/// as the other would fail one of the two halves.
Test(InstancePicker, TellsASlowMomentFromASlowServer) {
  PickerFixture Fixture;
  for (int Run = 0; Run < 40; ++Run) {
    Fixture.Picker.recordRunTime("near", "r-1", milliseconds(200));
    Fixture.Picker.recordRunTime("other", "r-1", milliseconds(200));
  }
  ServerLoad Slow = {0, 0, 6, 0.5, milliseconds(200)};
  Slow.Pace = 3;
  Fixture.Picker.onLoadReported("near", Slow, Fixture.Now);
  cr_assert_eq(Fixture.pick({"far"}), "other");
  Fixture.Now += milliseconds(301);
  int Near = 0;
  for (int Choice = 0; Choice < 50; ++Choice) {
    Near += Fixture.pick({"far"}) == "near" ? 1 : 0;
  }
  cr_assert_gt(Near, 10, "the slow moment is over");

  for (int Run = 0; Run < 40; ++Run) {
    Fixture.Picker.recordRunTime("near", "r-1", milliseconds(400));
    Fixture.Picker.recordRunTime("other", "r-1", milliseconds(200));
  }
  Fixture.Now += seconds(2);
  cr_assert_eq(Fixture.pick({"far"}), "other");
}

/// Senders that were refused by a cold server must not all return to it at the
/// same time.
Test(InstancePicker, ReturnsToAColdServerAreSpread) {
  TimePoint Earliest = TimePoint::max();
  TimePoint Latest{};
  for (std::uint64_t Sender = 1; Sender <= 20; ++Sender) {
    PickerFixture Fixture;
    Fixture.Picker = InstancePicker("north", "north-a", Sender);
    TimePoint Start = Fixture.Now;
    Fixture.Picker.onCold("near", milliseconds(300), Start);
    while (Fixture.pick({"other", "far"}) == "none") {
      Fixture.Now += milliseconds(10);
    }
    Earliest = std::min(Earliest, Fixture.Now);
    Latest = std::max(Latest, Fixture.Now);
    cr_assert_geq(Fixture.Now - Start, milliseconds(300));
  }
  cr_assert_gt(Latest - Earliest, milliseconds(300));
}
