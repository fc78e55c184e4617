#include "coordination/RowCache.h"
#include "platform/InMemoryTable.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace hemlockspar;

namespace {

/// Whether \p Cache holds every change up to its complete version.
bool isCompleteUpToItsVersion(const RowCache &Cache,
                              const InMemoryTable &Table) {
  for (const TableRow &Row : Table.changesSince(0).Rows) {
    const TableRow *Known = Cache.find(Row.Key);
    RowVersion KnownVersion = Known ? Known->Version : 0;
    if (Row.Version <= Cache.completeVersion() && KnownVersion < Row.Version) {
      return false;
    }
  }
  return true;
}

} // namespace

/// With lost, duplicated and reordered pushes, reads of the table and reads of
/// an outdated peer: no row returns to an older version, a deleted row does not
/// reappear, and every change up to the complete version is present.
Test(RowCache, NeverReturnsOlderRows) {
  bool Holds = rc::check("rows never return to an older version", [] {
    InMemoryTable Table;
    RowCache Cache;
    RowCache Peer;
    std::vector<RowBatch> Pushes;
    std::map<std::string, RowVersion> Seen;

    auto Steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(0, 1000)));

    for (const auto &[Action, Choice] : Steps) {
      if (Action <= 1 || Pushes.empty()) {
        TableTransaction Write;
        std::string Key = "config/policies/" + std::to_string(Choice % 4);
        auto Value = Choice % 5 == 0 ? std::nullopt
                                     : std::optional(std::to_string(Choice));
        Write.Writes.push_back({Key, Value});
        CommitResult Result = Table.commit(Write);
        Pushes.push_back(writtenRows(Write, Result.Version));
      } else if (Action <= 3) {
        Cache.apply(Pushes[Choice % Pushes.size()]);
      } else if (Action == 4) {
        Peer.apply(Table.changesSince(Peer.completeVersion()));
      } else {
        Cache.apply(Peer.changesSince(Cache.completeVersion()));
      }

      for (const TableRow &Row : Cache.changesSince(0).Rows) {
        RC_ASSERT(Row.Version >= Seen[Row.Key]);
        Seen[Row.Key] = Row.Version;
      }
      RC_ASSERT(isCompleteUpToItsVersion(Cache, Table));
    }

    Cache.apply(Table.changesSince(Cache.completeVersion()));
    RC_ASSERT(Cache.completeVersion() == Table.version());
    for (const TableRow &Row : Table.changesSince(0).Rows) {
      RC_ASSERT(Cache.find(Row.Key)->Value == Row.Value);
    }
  });
  cr_assert(Holds);
}
