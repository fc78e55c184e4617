#include "mesh/MeshView.h"

#include <criterion/criterion.h>

using namespace hemlockspar;

namespace {

TableRow instanceRow(const std::string &Name, RowVersion Version) {
  InstanceRow Row;
  Row.Instance = Name;
  Row.PeerAddress = {"10.0.0.1", 7000};
  Row.State = ServerState::Ready;
  return {MeshView::instanceKey(Name), Version, Row.toText()};
}

StoreRows rows(std::vector<TableRow> Rows, bool Complete, RowVersion Version) {
  return {tables::Instances, Version, Complete, std::move(Rows), std::nullopt};
}

ConfigurationPtr configuration(std::uint64_t Version) {
  Configuration Made;
  Made.Version = Version;
  return std::make_shared<const Configuration>(Made);
}

} // namespace

Test(MeshView, ConfigurationsNeverGoBack) {
  MeshView View;
  cr_assert(View.adopt(configuration(7)));
  cr_assert(!View.adopt(configuration(7)));
  cr_assert(!View.adopt(configuration(5)));
  cr_assert(View.adopt(configuration(12)));
  cr_assert_eq(View.configuration()->Version, 12);
}

Test(MeshView, OlderRowsReplaceNothing) {
  MeshView View;
  View.apply(rows({instanceRow("a", 9)}, false, 0));
  View.apply(rows({{MeshView::instanceKey("a"), 8, std::nullopt}}, false, 0));
  cr_assert(View.findInstance("a"));
  View.apply(rows({{MeshView::instanceKey("a"), 10, std::nullopt}}, false, 0));
  cr_assert(!View.findInstance("a"));
  View.apply(rows({instanceRow("a", 9)}, false, 0));
  cr_assert(!View.findInstance("a"), "a deleted row came back");
}

Test(MeshView, AReadingRemovesWhatItDoesNotList) {
  MeshView View;
  View.apply(rows({instanceRow("a", 3), instanceRow("b", 9)}, false, 0));
  View.apply(rows({}, true, 6));
  cr_assert(!View.findInstance("a"));
  cr_assert(View.findInstance("b"), "a row newer than the reading went");
}

Test(MeshView, AnEmptyStoreCountsAsRead) {
  MeshView View;
  cr_assert(!View.wasRead());
  View.apply(rows({}, true, 0));
  StoreRows Keys = rows({}, true, 0);
  Keys.Table = tables::Keys;
  View.apply(Keys);
  cr_assert(View.wasRead());
}

Test(MeshView, UnreadableRowsNameNoInstance) {
  MeshView View;
  View.apply(rows({{MeshView::instanceKey("a"), 3, "{\"instance\":"},
                   {MeshView::instanceKey("b"), 4, "[1]"}},
                  false, 0));
  cr_assert(View.instances().empty());
}

/// What a view knows after a version goes to another view, which is then as
/// far; rows that are known ahead of others claim nothing.
Test(MeshView, ViewsBringOneAnotherUp) {
  MeshView First;
  First.apply(rows({instanceRow("a", 3), instanceRow("b", 9)}, true, 12));
  First.apply(rows({instanceRow("c", 20)}, false, 0));
  cr_assert_eq(First.completeTo(tables::Instances), 12);
  cr_assert_eq(First.marks().Instances, 9, "a row ahead of others was claimed");

  MeshView Second;
  Second.apply(rows({instanceRow("a", 3)}, true, 5));
  StoreRows Later =
      First.rowsAfter(tables::Instances, Second.completeTo(tables::Instances));
  cr_assert_eq(Later.Rows.size(), 2);
  Second.apply(Later);
  Second.noteComplete(Later.Table, Later.Version);
  cr_assert(Second.findInstance("b") && Second.findInstance("c"));
  cr_assert_eq(Second.completeTo(tables::Instances), 12);
}
