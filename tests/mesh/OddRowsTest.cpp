#include "mesh/MeshView.h"
#include "mesh/OwnLease.h"

#include <criterion/criterion.h>

using namespace hemlockspar;
using std::chrono::seconds;

namespace {

TableRow instanceRow(const std::string &Name, RowVersion Version,
                     const std::string &Text) {
  return {MeshView::instanceKey(Name), Version, Text};
}

InstanceRow soundInstance(const std::string &Name) {
  InstanceRow Row;
  Row.Instance = Name;
  Row.Service = "menus";
  Row.Slots = 6;
  Row.Incarnation = {"s-" + Name, 6};
  Row.State = ServerState::Ready;
  Row.PeerAddress = {"10.0.0.2", 7000};
  return Row;
}

/// \p Text with \p From replaced by \p To.
std::string replaced(std::string Text, const std::string &From,
                     const std::string &To) {
  std::size_t Place = Text.find(From);
  cr_assert_neq(Place, std::string::npos);
  return Text.replace(Place, From.size(), To);
}

} // namespace

/// Another writer left odd entries among the instances: very deeply nested,
/// with numbers that are too large, with ports out of range. They name no
/// instance, and the others stay.
Test(OddRows, OddInstancesDoNotDisturbTheOthers) {
  const std::string Sound = soundInstance("odd").toText();
  const std::vector<std::string> Texts = {
      std::string(20000, '['),
      std::string(20000, '[') + std::string(20000, ']'),
      "{\"a\":" + std::string(60000, '{'),
      replaced(Sound, ":7000", ":70000"),
      replaced(Sound, ":7000", ":-1"),
      replaced(Sound, ":7000", ":99999999999999999999"),
      replaced(Sound, "\"slots\":6", "\"slots\":4294967302"),
      replaced(Sound, "\"slots\":6", "\"slots\":6,\"started\":1e999"),
      replaced(Sound, "\"started\":6", "\"started\":99999999999999999999"),
      replaced(Sound, "\"started\":6", "\"started\":1e300"),
      replaced(Sound, "\"state\":\"ready\"", "\"state\":[]"),
      std::string("\0\xff\xfe", 3),
      ""};

  for (const std::string &Text : Texts) {
    MeshView View;
    View.apply({tables::Instances,
                9,
                true,
                {instanceRow("a", 7, soundInstance("a").toText()),
                 instanceRow("odd", 8, Text),
                 instanceRow("z", 9, soundInstance("z").toText())},
                std::nullopt});
    cr_assert(View.findInstance("a") && View.findInstance("z"));
    cr_assert_null(View.findInstance("odd"), "taken: %.80s", Text.c_str());
    cr_assert_eq(View.completeVersion(tables::Instances), 9);
  }
}

/// A lease in the far future would keep its keys from all others for good, and
/// a load without bounds would draw or repel all keys.
Test(OddRows, ImplausibleLeasesAreNotRead) {
  for (const char *Text :
       {R"({"process":1,"count":1,"until_ms":9223372036854775807,"load":0.5})",
        R"({"process":1,"count":1,"until_ms":-5,"load":0.5})",
        R"({"process":1,"count":1,"until_ms":18446744073709551615,"load":0.5})",
        R"({"process":1,"count":1,"until_ms":1e18,"load":0.5})",
        R"({"process":1,"count":1,"until_ms":5000,"load":1e300})",
        R"({"process":1,"count":1,"until_ms":5000,"load":-1})"}) {
    cr_assert(!KeyLeaseRow::fromText(Text), "taken: %s", Text);
  }
  cr_assert(KeyLeaseRow::fromText(
      R"({"process":1,"count":1,"until_ms":5000,"load":0.5})"));
}
