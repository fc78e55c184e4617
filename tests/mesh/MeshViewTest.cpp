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
  cr_assert(View.activateConfiguration(configuration(7)));
  cr_assert(!View.activateConfiguration(configuration(7)));
  cr_assert(!View.activateConfiguration(configuration(5)));
  cr_assert(View.activateConfiguration(configuration(12)));
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
  cr_assert(!View.findInstance("a"), "an older row restored a deleted one");
}

Test(MeshView, FullReadRemovesUnlistedRows) {
  MeshView View;
  View.apply(rows({instanceRow("a", 3), instanceRow("b", 9)}, false, 0));
  View.apply(rows({}, true, 6));
  cr_assert(!View.findInstance("a"));
  cr_assert(View.findInstance("b"), "a row newer than the read was removed");
}

Test(MeshView, AnEmptyStoreCountsAsRead) {
  MeshView View;
  cr_assert(!View.hasReadBothTables());
  View.apply(rows({}, true, 0));
  StoreRows Keys = rows({}, true, 0);
  Keys.Table = tables::Keys;
  View.apply(Keys);
  cr_assert(View.hasReadBothTables());
}

Test(MeshView, MalformedRowsAreIgnored) {
  MeshView View;
  View.apply(rows({{MeshView::instanceKey("a"), 3, "{\"instance\":"},
                   {MeshView::instanceKey("b"), 4, "[1]"}},
                  false, 0));
  cr_assert(View.instances().empty());
}

/// A malformed row is there all the same: its version is the condition of the
/// write that replaces it, also where it was learned from another daemon.
Test(MeshView, MalformedRowsHaveVersions) {
  MeshView View;
  View.apply(
      rows({{MeshView::instanceKey("a"), 3, "{\"instance\":"}}, true, 5));
  cr_assert_eq(View.instanceVersion("a"), 3);
  MeshView Other;
  Other.apply(View.rowsAfter(tables::Instances, 0));
  cr_assert_eq(Other.instanceVersion("a"), 3);
  cr_assert(!Other.findInstance("a"));

  View.apply(rows({{MeshView::instanceKey("a"), 6, std::nullopt}}, false, 0));
  cr_assert_eq(View.instanceVersion("a"), 0);
  View.apply(rows({{MeshView::instanceKey("a"), 7, "["}}, false, 0));
  View.apply(rows({}, true, 8));
  cr_assert_eq(View.instanceVersion("a"), 0,
               "a row that is gone has a version");
}

/// The rows that a view knows after some version bring another view up to the
/// same point; rows that are known ahead of missing ones must not count as
/// complete.
Test(MeshView, ViewsSynchronise) {
  MeshView First;
  First.apply(rows({instanceRow("a", 3), instanceRow("b", 9)}, true, 12));
  First.apply(rows({instanceRow("c", 20)}, false, 0));
  cr_assert_eq(First.completeVersion(tables::Instances), 12);
  cr_assert_eq(First.versions().Instances, 9,
               "a row ahead of missing ones counted as complete");

  MeshView Second;
  Second.apply(rows({instanceRow("a", 3)}, true, 5));
  StoreRows Later = First.rowsAfter(tables::Instances,
                                    Second.completeVersion(tables::Instances));
  cr_assert_eq(Later.Rows.size(), 2);
  Second.apply(Later);
  Second.markComplete(Later.Table, Later.Version);
  cr_assert(Second.findInstance("b") && Second.findInstance("c"));
  cr_assert_eq(Second.completeVersion(tables::Instances), 12);
}

/// A late answer of the store must not bring back an evacuation that has ended.
Test(MeshView, OlderEvacuationsAreIgnored) {
  MeshView View;
  View.setEvacuated({"north-a"}, 7);
  cr_assert(View.isEvacuated("north-a"));
  View.setEvacuated({}, 9);
  View.setEvacuated({"north-a"}, 7);
  cr_assert_not(View.isEvacuated("north-a"));
}
