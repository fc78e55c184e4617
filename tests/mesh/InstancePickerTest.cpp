#include "mesh/InstancePicker.h"

#include <criterion/criterion.h>

using namespace hemlockspar;
using std::chrono::milliseconds;

namespace {

struct PickerBox {
  PickerBox() : Picker("north", "north-a", 1) {
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

/// The load pattern of a calm day: bytes between regions are paid for.
Test(InstancePicker, StaysInItsRegionWhileThereIsRoom) {
  PickerBox Box;
  for (int Time = 0; Time < 100; ++Time) {
    cr_assert(Box.pick() != "far");
  }
}

/// The load pattern of a wave that fills one region.
Test(InstancePicker, GoesToAnotherRegionWhenItsOwnIsFull) {
  PickerBox Box;
  Box.load("near", 20);
  Box.load("other", 20);
  cr_assert(Box.pick() == "far");
}

Test(InstancePicker, TriesEachOnce) {
  PickerBox Box;
  cr_assert(Box.pick({"near", "other"}) == "far");
  cr_assert(Box.pick({"near", "other", "far"}) == "none");
}

/// The load pattern of a machine that went dark: requests must not queue up
/// behind its time-outs.
Test(InstancePicker, OneRequestAtATimeTriesTheUnreachable) {
  PickerBox Box;
  Box.Picker.onUnreachable("near", Box.Now);
  Box.Picker.onUnreachable("other", Box.Now);
  Box.Picker.onUnreachable("far", Box.Now);
  cr_assert(Box.pick() == "none");

  Box.Now += milliseconds(260);
  std::set<std::string> Tried = {Box.pick(), Box.pick(), Box.pick()};
  cr_assert_eq(Tried.size(), 3);
  cr_assert(Box.pick() == "none");

  Box.Picker.onReachable("far");
  Box.Now += milliseconds(260);
  cr_assert(Box.pick() != "none");
}

Test(InstancePicker, AJoinerInTheRegionGetsRequests) {
  PickerBox Box;
  Box.add("new", "north", "north-b");
  cr_assert(Box.pick() == "new");
}

Test(InstancePicker, LeavingServersGetNothing) {
  PickerBox Box;
  InstanceRow Row = *Box.View.findInstance("near");
  Row.State = ServerState::Leaving;
  Box.View.apply({tables::Instances,
                  0,
                  false,
                  {{MeshView::instanceKey("near"), 99, Row.toText()}},
                  std::nullopt});
  for (int Time = 0; Time < 20; ++Time) {
    cr_assert(Box.pick() != "near");
  }
}

/// The load pattern of short calls beside long requests: the instance that has
/// served the calls has the shorter runs, and is no faster for it. Both get
/// about half of either.
Test(InstancePicker, ShortRequestsMakeNoServerLookFast) {
  PickerBox Box;
  for (int Time = 0; Time < 60; ++Time) {
    Box.Picker.recordRunTime("near", "call", milliseconds(50));
    Box.Picker.recordRunTime("other", "call", milliseconds(50));
    Box.Picker.recordRunTime("other", "order", milliseconds(500));
    Box.Picker.recordRunTime("near", "order", milliseconds(500));
  }
  ServerLoad Short = {0, 0, 6, 0, milliseconds(60)};
  ServerLoad Long = {0, 0, 6, 0, milliseconds(480)};
  Box.Picker.onLoadReported("near", Short, Box.Now);
  Box.Picker.onLoadReported("other", Long, Box.Now);

  std::map<std::string, int> Chosen;
  for (int Time = 0; Time < 200; ++Time) {
    ++Chosen[Box.Picker.pick(Box.View, "bookings", "order", {}, Box.Now)
                 .value_or("none")];
  }
  cr_assert_geq(Chosen["near"], 60);
  cr_assert_geq(Chosen["other"], 60);
}

/// A server that takes twice as long on the same routes gets less.
Test(InstancePicker, SlowServersGetLess) {
  PickerBox Box;
  for (int Time = 0; Time < 60; ++Time) {
    Box.Picker.recordRunTime("near", "r-1", milliseconds(600));
    Box.Picker.recordRunTime("other", "r-1", milliseconds(300));
  }
  int Slow = 0;
  for (int Time = 0; Time < 100; ++Time) {
    Slow += Box.pick() == "near" ? 1 : 0;
  }
  cr_assert_lt(Slow, 10);
}
