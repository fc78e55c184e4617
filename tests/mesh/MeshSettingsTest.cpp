#include "mesh/MeshSettings.h"

#include <criterion/criterion.h>

using namespace hemlockspar;
using std::chrono::milliseconds;

namespace {

const std::string ValidSettings = R"(instance: a
region: north
data_center: north-a
stop_time: 6s
listen:
  callers: 10.0.0.1:1
  readiness: 10.0.0.1:2
  reports: 10.0.0.1:3
  inner: 10.0.0.1:4
store:
  address: 10.0.0.9:5
server:
  address: 10.0.0.1:6
  service: menus
  heartbeat: 870ms
repeats:
  share: 0.2
  allowance: ""
)";

std::string faultsOf(const std::string &Text) {
  auto Read = parseMeshSettings(Text, "x.yaml");
  return Read.ok() ? "" : std::string(Read.status().message());
}

} // namespace

Test(MeshSettings, ReadsAll) {
  cr_assert(isMeshSettings(ValidSettings));
  auto Read = parseMeshSettings(ValidSettings, "x.yaml");
  cr_assert(Read.ok(), "%s", faultsOf(ValidSettings).c_str());
  cr_assert(Read->PeerAddress == (Address{"10.0.0.1", 4}));
  cr_assert(Read->HeartbeatInterval == milliseconds(870));
  cr_assert(Read->StopTime == milliseconds(6000));
  cr_assert(Read->LeaveTime == milliseconds(2500),
            "the default was overwritten");
}

Test(MeshSettings, ReportsEachFault) {
  std::string Text = ValidSettings + "colour: red\n";
  cr_assert(faultsOf(Text).find("colour is unknown") != std::string::npos);

  Text = ValidSettings;
  Text.replace(Text.find("870ms"), 5, "often");
  Text.replace(Text.find("10.0.0.1:4"), 10, "somewhere!");
  std::string Faults = faultsOf(Text);
  cr_assert(Faults.find("x.yaml:15: server.heartbeat") != std::string::npos,
            "%s", Faults.c_str());
  cr_assert(Faults.find("listen.inner") != std::string::npos);
}

Test(MeshSettings, RejectsOtherSettings) {
  cr_assert(!isMeshSettings("instance: a\ntable:\n  address: 1.2.3.4:5\n"));
  cr_assert(!isMeshSettings("{{"));
}
