#include "mesh/ViewCodec.h"

#include "core/Json.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

namespace hemlockspar::viewcodec {

namespace {

/// On a question: the marks of whoever asks. On a call that tells: present.
constexpr char AskHeader[] = "Hs-View-After";
constexpr char TellHeader[] = "Hs-View-Rows";

Json::Value tableToJson(const StoreRows &Part) {
  Json::Value Table;
  Table["table"] = Part.Table;
  Table["to"] = Json::UInt64(Part.Version);
  Table["rows"] = Json::Value(Json::arrayValue);
  for (const TableRow &Row : Part.Rows) {
    Json::Value One(Json::arrayValue);
    One.append(Row.Key);
    One.append(Json::UInt64(Row.Version));
    One.append(Row.Value ? Json::Value(*Row.Value) : Json::Value());
    Table["rows"].append(One);
  }
  return Table;
}

std::optional<StoreRows> tableFromJson(const Json::Value &Table) {
  bool Sound = Table.isObject() && Table["table"].isString() &&
               Table["to"].isUInt64() && Table["rows"].isArray();
  if (!Sound) {
    return std::nullopt;
  }

  StoreRows Part;
  Part.Table = Table["table"].asString();
  Part.Version = Table["to"].asUInt64();
  for (const Json::Value &One : Table["rows"]) {
    bool Whole = One.isArray() && One.size() == 3 && One[0].isString() &&
                 One[1].isUInt64() && (One[2].isString() || One[2].isNull());
    if (!Whole) {
      return std::nullopt;
    }
    TableRow Row = {One[0].asString(), One[1].asUInt64(), std::nullopt};
    if (One[2].isString()) {
      Row.Value = One[2].asString();
    }
    Part.Rows.push_back(std::move(Row));
  }
  return Part;
}

} // namespace

HttpRequest makeQuestion(const ViewMarks &Known) {
  HttpRequest Request(http::verb::get, "/", 11);
  Request.set(http::field::host, "peer");
  Request.set(AskHeader, absl::StrCat(Known.Instances, " ", Known.Keys));
  return Request;
}

std::optional<ViewMarks> readQuestion(const HttpRequest &Request) {
  std::vector<std::string> Fields =
      absl::StrSplit(headerValue(Request, AskHeader), ' ');
  ViewMarks Known;
  bool Sound = Fields.size() == 2 &&
               absl::SimpleAtoi(Fields[0], &Known.Instances) &&
               absl::SimpleAtoi(Fields[1], &Known.Keys);
  return Sound ? std::optional(Known) : std::nullopt;
}

HttpRequest makeTelling(const std::vector<StoreRows> &Rows) {
  HttpRequest Request(http::verb::post, "/", 11);
  Request.set(http::field::host, "peer");
  Request.set(TellHeader, "1");
  Request.body() = encodeRows(Rows);
  return Request;
}

bool isTelling(const HttpRequest &Request) {
  return Request.find(TellHeader) != Request.end();
}

std::string encodeRows(const std::vector<StoreRows> &Rows) {
  Json::Value Text(Json::arrayValue);
  for (const StoreRows &Part : Rows) {
    Text.append(tableToJson(Part));
  }
  return writeJson(Text);
}

std::optional<std::vector<StoreRows>> decodeRows(const std::string &Text) {
  auto Value = readJson(Text);
  if (!Value || !Value->isArray()) {
    return std::nullopt;
  }

  std::vector<StoreRows> Rows;
  for (const Json::Value &Table : *Value) {
    auto Part = tableFromJson(Table);
    if (!Part) {
      return std::nullopt;
    }
    Rows.push_back(std::move(*Part));
  }
  return Rows;
}

} // namespace hemlockspar::viewcodec
