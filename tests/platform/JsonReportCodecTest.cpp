#include "platform/JsonReportCodec.h"

#include "core/Json.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace hemlockspar;

namespace {

const std::string ValidReport =
    R"({"service":"menus","address":"10.0.0.1:80","zone":"north-a",)"
    R"("version":"v1","slots":6,"state":"ready","cold_left":"0ms",)"
    R"("sequence":4,"born":1700000000123,"holds":[[0,9,7]],)"
    R"("released":[[10,19,"ab"]]})";

/// The valid report with \p Field replaced by \p Value, or removed if \p Value
/// is null.
std::string reportWith(const char *Field, const Json::Value &Value) {
  Json::Value Body = *readJson(ValidReport);
  if (Value.isNull()) {
    Body.removeMember(Field);
  } else {
    Body[Field] = Value;
  }
  return writeJson(Body);
}

} // namespace

Test(JsonReportCodec, DecodesReport) {
  auto Report = JsonReportCodec().decode("i-1", ValidReport);
  cr_assert(Report.ok());
  cr_assert(Report->Incarnation == (ServerIncarnation{"i-1", 1700000000123}));
  cr_assert(Report->Sequence == 4 && Report->Slots == 6 && !Report->Leaving);
  cr_assert(Report->Held.size() == 1 && Report->Held[0].Token == 7);
  cr_assert(Report->Released.size() == 1);
  cr_assert(Report->Released[0].Keys == (KeyRange{10, 19}));
  cr_assert(Report->Released[0].HandoverState == "ab");
}

Test(JsonReportCodec, RejectsInvalidFields) {
  Json::Value List(Json::arrayValue);
  List.append(1);
  Json::Value MalformedRows(Json::arrayValue);
  MalformedRows.append(List);
  std::pair<const char *, Json::Value> InvalidFields[] = {
      {"service", {}},
      {"service", 5},
      {"address", "nowhere"},
      {"address", {}},
      {"slots", 0},
      {"slots", "6"},
      {"slots", -1},
      {"state", "odd"},
      {"state", {}},
      {"sequence", 1.5},
      {"sequence", {}},
      {"born", "1"},
      {"born", 1.5},
      {"holds", "none"},
      {"holds", MalformedRows},
      {"released", MalformedRows}};
  for (const auto &[Field, Value] : InvalidFields) {
    auto Report = JsonReportCodec().decode("i-1", reportWith(Field, Value));
    cr_assert(!Report.ok(), "%s was accepted", Field);
    cr_assert(!Report.status().message().empty());
  }
}

/// A report that is truncated or has any byte changed is either decoded or
/// rejected; it never crashes the decoder.
Test(JsonReportCodec, HandlesCorruptedInput) {
  cr_assert(rc::check([] {
    std::string Corrupted = ValidReport;
    auto Length = *rc::gen::inRange<std::size_t>(0, ValidReport.size() + 1);
    Corrupted.resize(Length);
    if (!Corrupted.empty()) {
      auto Position = *rc::gen::inRange<std::size_t>(0, Corrupted.size());
      Corrupted[Position] = *rc::gen::arbitrary<char>();
    }
    auto Report = JsonReportCodec().decode("i-1", Corrupted);
    if (Report.ok()) {
      RC_ASSERT(Report->Slots > 0);
    }
  }));
}

Test(JsonReportCodec, EncodesGrants) {
  JsonReportCodec Codec;
  cr_assert(Codec.encode(std::nullopt) == "{}");

  KeyGrants Grants;
  Grants.Granted = {{{0, 4095}, 7, ""}, {{9000, 9999}, 12, "7a"}};
  Grants.HoldTime = std::chrono::milliseconds(4000);
  cr_assert(*readJson(Codec.encode(Grants)) ==
            *readJson(R"({"holds":[[0,4095,7,""],[9000,9999,12,"7a"]],)"
                      R"("hold_time":"4000ms"})"));
}

/// A response with 60 entries, the most that an owner may have, fits into the 4
/// KiB that a backend server reads.
Test(JsonReportCodec, GrantsFitServerLimit) {
  KeyGrants Grants;
  Grants.HoldTime = std::chrono::milliseconds(10000);
  for (KeyNumber Index = 0; Index < 60; ++Index) {
    Grants.Granted.push_back(
        {{65000 + Index, 65000 + Index}, 1234567, std::string(32, 'f')});
  }
  cr_assert_leq(JsonReportCodec().encode(Grants).size(), 4096);
}

Test(JsonReportCodec, RecognisesCalls) {
  JsonReportCodec Codec;
  std::string Id;
  HttpRequest Put(http::verb::put, "/api/instances/i-7", 11);
  HttpRequest Delete(http::verb::delete_, "/api/instances/i-8", 11);
  HttpRequest Other(http::verb::put, "/api/instances/", 11);
  cr_assert(Codec.kindOf(Put, Id) == ServerCallKind::Report && Id == "i-7");
  cr_assert(Codec.kindOf(Delete, Id) == ServerCallKind::Leave && Id == "i-8");
  cr_assert(Codec.kindOf(Other, Id) == ServerCallKind::Unknown);
}
