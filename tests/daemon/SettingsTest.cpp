#include "daemon/Settings.h"

#include <criterion/criterion.h>

using namespace hemlockspar;

namespace {

constexpr char Sound[] = R"(instance: menus-1
region: hobart
data_center: hobart-a
listen:
  host: 127.0.0.1
  caller_port: 8080
  forward_port: 8081
  control_port: 8082
  api_port: 8083
table:
  address: 127.0.0.1:7000
)";

std::string faultOf(const std::string &Text) {
  auto Read = parseSettings(Text, "a.yaml");
  return std::string(Read.status().message());
}

bool has(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

Test(Settings, ReadsSoundOnes) {
  auto Read = parseSettings(Sound, "a.yaml");
  cr_assert(Read.ok());
  cr_assert_eq(Read->Listen.ApiPort, 8083);
  cr_assert(Read->Advertise == Read->Listen);
}

Test(Settings, NamesFileLineFieldAndWhatIsAllowed) {
  std::string Text = Sound;
  Text.replace(Text.find("8081"), 4, "99999");
  cr_assert(has(faultOf(Text),
                "a.yaml:7: listen.forward_port must be a whole number from 1 "
                "to 65535"));

  cr_assert(has(faultOf(std::string(Sound) + "colour: red\n"),
                "a.yaml:12: colour is unknown; allowed are"));
  cr_assert(has(faultOf("instance: a\n"), "region is missing"));
  cr_assert(has(faultOf("a: [1\n"), "a.yaml:"));
  cr_assert(has(faultOf("- 1\n"), "a.yaml:1: must hold fields"));
}

Test(Settings, ReportsEveryFault) {
  std::string Text = Sound;
  Text.replace(Text.find("127.0.0.1\n"), 9, "localhost");
  Text.replace(Text.find("menus-1"), 7, "Menus 1");
  std::string Faults = faultOf(Text);
  cr_assert(has(Faults, "listen.host must be an IP address"));
  cr_assert(has(Faults, "instance must be 1 to 64"));
}
