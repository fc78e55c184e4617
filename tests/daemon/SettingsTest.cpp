#include "daemon/Settings.h"

#include <criterion/criterion.h>

using namespace hemlockspar;

namespace {

constexpr char ValidSettings[] = R"(instance: menus-1
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

std::string errorOf(const std::string &Text) {
  auto Read = parseSettings(Text, "a.yaml");
  return std::string(Read.status().message());
}

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

Test(Settings, ReadsValidSettings) {
  auto Read = parseSettings(ValidSettings, "a.yaml");
  cr_assert(Read.ok());
  cr_assert_eq(Read->Listen.ApiPort, 8083);
  cr_assert(Read->Advertise == Read->Listen);
}

Test(Settings, ErrorNamesFileLineFieldAndAllowedValues) {
  std::string Text = ValidSettings;
  Text.replace(Text.find("8081"), 4, "99999");
  cr_assert(
      contains(errorOf(Text),
               "a.yaml:7: listen.forward_port must be a whole number from 1 "
               "to 65535"));

  cr_assert(contains(errorOf(std::string(ValidSettings) + "colour: red\n"),
                     "a.yaml:12: colour is unknown; allowed are"));
  cr_assert(contains(errorOf("instance: a\n"), "region is missing"));
  cr_assert(contains(errorOf("a: [1\n"), "a.yaml:"));
  cr_assert(contains(errorOf("- 1\n"), "a.yaml:1: must be a mapping"));
}

Test(Settings, ReportsEveryError) {
  std::string Text = ValidSettings;
  Text.replace(Text.find("127.0.0.1\n"), 9, "localhost");
  Text.replace(Text.find("menus-1"), 7, "Menus 1");
  std::string Errors = errorOf(Text);
  cr_assert(contains(Errors, "listen.host must be an IP address"));
  cr_assert(contains(Errors, "instance must be 1 to 64"));
}
