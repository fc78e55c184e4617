#include "tests/integration/RunChecker.h"

#include <criterion/criterion.h>

using namespace hemlockspar;

namespace {

struct RecordedRun {
  const char *Server;
  std::uint64_t Token;
  std::int64_t Began;
  std::int64_t Ended;
  const char *Key = "";
  const char *Result = "done";
};

Json::Value toJson(const RecordedRun &Run) {
  Json::Value Line;
  Line["server"] = Run.Server;
  Line["keyspace"] = "menus";
  Line["slot"] = 3;
  Line["method"] = "POST";
  Line["token"] = Json::UInt64(Run.Token);
  Line["began"] = Json::Int64(Run.Began);
  Line["ended"] = Json::Int64(Run.Ended);
  Line["idempotency_key"] = Run.Key;
  Line["result"] = Run.Result;
  return Line;
}

std::string violationIn(const std::vector<RecordedRun> &Runs,
                        const LoadResult &Result = {}) {
  std::vector<Json::Value> Lines;
  for (const RecordedRun &Run : Runs) {
    Lines.push_back(toJson(Run));
  }
  return RunChecker(Lines).checkAll(Result);
}

} // namespace

Test(RunChecker, PassesOrderlyRuns) {
  LoadResult Result;
  Result.Acknowledged = {"w1", "w2"};
  Result.NotRun = {"w3"};
  cr_assert_eq(
      violationIn({{"a", 1, 0, 10, "w1"}, {"b", 2, 11, 20, "w2"}}, Result), "");
}

Test(RunChecker, FindsTwoOwners) {
  cr_assert_neq(violationIn({{"a", 1, 0, 10}, {"b", 2, 9, 20}}), "");
  cr_assert_neq(violationIn({{"b", 2, 0, 10}, {"a", 1, 11, 20}}), "");

  // A run that the server aborted because its lease expired had no effect.
  cr_assert_eq(violationIn({{"a", 1, 0, 10, "", "lapsed"}, {"b", 2, 9, 20}}),
               "");
}

Test(RunChecker, FindsDoubleRuns) {
  cr_assert_neq(violationIn({{"a", 1, 0, 10, "w1"}, {"a", 1, 11, 20, "w1"}}),
                "");
}

Test(RunChecker, FindsFalseOutcomes) {
  LoadResult LostWrite;
  LostWrite.Acknowledged = {"w1"};
  cr_assert_neq(violationIn({}, LostWrite), "");

  LoadResult FalseNotRun;
  FalseNotRun.NotRun = {"w1"};
  cr_assert_neq(violationIn({{"a", 1, 0, 10, "w1"}}, FalseNotRun), "");
}

Test(RunChecker, FindsAnswersToOthers) {
  LoadResult Result;
  Result.Mismatched = 1;
  cr_assert_neq(violationIn({}, Result), "");
}
