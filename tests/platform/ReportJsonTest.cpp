#include "platform/ReportJson.h"

#include "core/Json.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace hemlockspar;

namespace {

const std::string Sound =
    R"({"service":"menus","address":"10.0.0.1:80","zone":"north-a",)"
    R"("version":"v1","slots":6,"state":"ready","cold_left":"0ms",)"
    R"("sequence":4,"born":1700000000123,"holds":[[0,9,7]],)"
    R"("released":[[10,19,"ab"]]})";

/// The report with one field in place of another.
std::string with(const char *Field, const Json::Value &Value) {
  Json::Value Body = *readJson(Sound);
  if (Value.isNull()) {
    Body.removeMember(Field);
  } else {
    Body[Field] = Value;
  }
  return writeJson(Body);
}

} // namespace

Test(ReportJson, ReadsAReport) {
  auto Report = ReportJson().decode("i-1", Sound);
  cr_assert(Report.ok());
  cr_assert(Report->Incarnation == (ServerIncarnation{"i-1", 1700000000123}));
  cr_assert(Report->Sequence == 4 && Report->Slots == 6 && !Report->Leaving);
  cr_assert(Report->Held.size() == 1 && Report->Held[0].Token == 7);
  cr_assert(Report->Released.size() == 1);
  cr_assert(Report->Released[0].Keys == (KeyRange{10, 19}));
  cr_assert(Report->Released[0].HandoverState == "ab");
}

Test(ReportJson, RefusesWrongFields) {
  Json::Value List(Json::arrayValue);
  List.append(1);
  Json::Value Spans(Json::arrayValue);
  Spans.append(List);
  std::pair<const char *, Json::Value> Wrong[] = {
      {"service", {}},    {"service", 5},    {"address", "nowhere"},
      {"address", {}},    {"slots", 0},      {"slots", "6"},
      {"slots", -1},      {"state", "odd"},  {"state", {}},
      {"sequence", 1.5},  {"sequence", {}},  {"born", "1"},
      {"born", 1.5},      {"holds", "none"}, {"holds", Spans},
      {"released", Spans}};
  for (const auto &[Field, Value] : Wrong) {
    auto Report = ReportJson().decode("i-1", with(Field, Value));
    cr_assert(!Report.ok(), "%s was taken", Field);
    cr_assert(!Report.status().message().empty());
  }
}

/// Cut short or with any byte changed, a report is read or refused, no more.
Test(ReportJson, SurvivesDamage) {
  cr_assert(rc::check([] {
    std::string Damaged = Sound;
    auto Length = *rc::gen::inRange<std::size_t>(0, Sound.size() + 1);
    Damaged.resize(Length);
    if (!Damaged.empty()) {
      auto Place = *rc::gen::inRange<std::size_t>(0, Damaged.size());
      Damaged[Place] = *rc::gen::arbitrary<char>();
    }
    auto Report = ReportJson().decode("i-1", Damaged);
    if (Report.ok()) {
      RC_ASSERT(Report->Slots > 0);
    }
  }));
}

Test(ReportJson, WritesGrants) {
  ReportJson Codec;
  cr_assert(Codec.encode(std::nullopt) == "{}");

  KeyGrants Grants;
  Grants.Granted = {{{0, 4095}, 7, ""}, {{9000, 9999}, 12, "7a"}};
  Grants.HoldTime = std::chrono::milliseconds(4000);
  cr_assert(*readJson(Codec.encode(Grants)) ==
            *readJson(R"({"holds":[[0,4095,7,""],[9000,9999,12,"7a"]],)"
                      R"("hold_time":"4000ms"})"));
}

/// An answer that grants the most entries that an owner may have stays within
/// the 4 KiB that a backend server reads.
Test(ReportJson, GrantsStaySmall) {
  KeyGrants Grants;
  Grants.HoldTime = std::chrono::milliseconds(10000);
  for (KeyNumber Index = 0; Index < 60; ++Index) {
    Grants.Granted.push_back(
        {{65000 + Index, 65000 + Index}, 1234567, std::string(32, 'f')});
  }
  cr_assert_leq(ReportJson().encode(Grants).size(), 4096);
}

Test(ReportJson, KnowsTheCalls) {
  ReportJson Codec;
  std::string Id;
  HttpRequest Put(http::verb::put, "/api/instances/i-7", 11);
  HttpRequest Delete(http::verb::delete_, "/api/instances/i-8", 11);
  HttpRequest Other(http::verb::put, "/api/instances/", 11);
  cr_assert(Codec.kindOf(Put, Id) == ServerCallKind::Report && Id == "i-7");
  cr_assert(Codec.kindOf(Delete, Id) == ServerCallKind::Leave && Id == "i-8");
  cr_assert(Codec.kindOf(Other, Id) == ServerCallKind::Unknown);
}
