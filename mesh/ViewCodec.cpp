#include "mesh/ViewCodec.h"

#include "core/Json.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

namespace hemlockspar::viewcodec {

namespace {

/// In a pull request: the requester's versions. In a push request: present.
constexpr char PullHeader[] = "Hs-View-After";
constexpr char PushHeader[] = "Hs-View-Rows";

Json::Value tableToJson(const StoreRows &Part) {
  Json::Value Table;
  Table["table"] = Part.Table;
  Table["to"] = Json::UInt64(Part.Version);
  Table["rows"] = Json::Value(Json::arrayValue);
  for (const TableRow &Row : Part.Rows) {
    Json::Value RowJson(Json::arrayValue);
    RowJson.append(Row.Key);
    RowJson.append(Json::UInt64(Row.Version));
    RowJson.append(Row.Value ? Json::Value(*Row.Value) : Json::Value());
    Table["rows"].append(RowJson);
  }
  return Table;
}

std::optional<StoreRows> tableFromJson(const Json::Value &Table) {
  bool Valid = Table.isObject() && Table["table"].isString() &&
               Table["to"].isUInt64() && Table["rows"].isArray();
  if (!Valid) {
    return std::nullopt;
  }

  StoreRows Part;
  Part.Table = Table["table"].asString();
  Part.Version = Table["to"].asUInt64();
  for (const Json::Value &RowJson : Table["rows"]) {
    bool RowValid = RowJson.isArray() && RowJson.size() == 3 &&
                    RowJson[0].isString() && RowJson[1].isUInt64() &&
                    (RowJson[2].isString() || RowJson[2].isNull());
    if (!RowValid) {
      return std::nullopt;
    }
    TableRow Row = {RowJson[0].asString(), RowJson[1].asUInt64(), std::nullopt};
    if (RowJson[2].isString()) {
      Row.Value = RowJson[2].asString();
    }
    Part.Rows.push_back(std::move(Row));
  }
  return Part;
}

} // namespace

HttpRequest makePullRequest(const ViewVersions &Known) {
  HttpRequest Request(http::verb::get, "/", 11);
  Request.set(http::field::host, "peer");
  Request.set(PullHeader, absl::StrCat(Known.Instances, " ", Known.Keys));
  return Request;
}

std::optional<ViewVersions> parsePullRequest(const HttpRequest &Request) {
  std::vector<std::string> Fields =
      absl::StrSplit(headerValue(Request, PullHeader), ' ');
  ViewVersions Known;
  bool Valid = Fields.size() == 2 &&
               absl::SimpleAtoi(Fields[0], &Known.Instances) &&
               absl::SimpleAtoi(Fields[1], &Known.Keys);
  return Valid ? std::optional(Known) : std::nullopt;
}

HttpRequest makePushRequest(const std::vector<StoreRows> &Rows) {
  HttpRequest Request(http::verb::post, "/", 11);
  Request.set(http::field::host, "peer");
  Request.set(PushHeader, "1");
  Request.body() = encodeRows(Rows);
  return Request;
}

bool isPushRequest(const HttpRequest &Request) {
  return Request.find(PushHeader) != Request.end();
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
