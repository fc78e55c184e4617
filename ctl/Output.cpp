#include "ctl/Output.h"

#include "core/Json.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <algorithm>
#include <vector>

namespace hemlockspar {

namespace {

std::string formatCell(const Json::Value &Value) {
  if (Value.isString()) {
    return Value.asString();
  }
  if (Value.isNull()) {
    return "-";
  }
  if (Value.isArray()) {
    std::vector<std::string> Parts;
    for (const Json::Value &Part : Value) {
      Parts.push_back(formatCell(Part));
    }
    return absl::StrJoin(Parts, ",");
  }
  if (Value.isObject()) {
    std::vector<std::string> Parts;
    for (const std::string &Name : Value.getMemberNames()) {
      Parts.push_back(absl::StrCat(Name, "=", formatCell(Value[Name])));
    }
    return absl::StrJoin(Parts, " ");
  }
  return writeJson(Value);
}

/// Column names of a list; "name" comes first.
std::vector<std::string> columnNames(const Json::Value &Items) {
  std::vector<std::string> Columns = {"name"};
  for (const Json::Value &Item : Items) {
    for (const std::string &Name : Item.getMemberNames()) {
      bool Known =
          std::find(Columns.begin(), Columns.end(), Name) != Columns.end();
      if (!Known && Name != "kind") {
        Columns.push_back(Name);
      }
    }
  }
  return Columns;
}

std::string renderTable(const std::vector<std::vector<std::string>> &Rows) {
  std::vector<std::size_t> Widths(Rows.front().size());
  for (const auto &Row : Rows) {
    for (std::size_t Column = 0; Column < Row.size(); ++Column) {
      Widths[Column] = std::max(Widths[Column], Row[Column].size());
    }
  }

  std::string Text;
  for (const auto &Row : Rows) {
    for (std::size_t Column = 0; Column < Row.size(); ++Column) {
      bool Last = Column + 1 == Row.size();
      std::size_t Padding = Last ? 0 : Widths[Column] - Row[Column].size() + 2;
      absl::StrAppend(&Text, Row[Column], std::string(Padding, ' '));
    }
    Text.push_back('\n');
  }
  return Text;
}

std::string renderList(const Json::Value &Items) {
  if (Items.empty()) {
    return "none\n";
  }

  std::vector<std::string> Columns = columnNames(Items);
  std::vector<std::vector<std::string>> Rows = {Columns};
  for (const Json::Value &Item : Items) {
    std::vector<std::string> Row;
    for (const std::string &Column : Columns) {
      Row.push_back(Item.isMember(Column) ? formatCell(Item[Column]) : "-");
    }
    Rows.push_back(std::move(Row));
  }
  return renderTable(Rows);
}

std::string renderObject(const Json::Value &Value) {
  if (!Value.isObject()) {
    return formatCell(Value) + "\n";
  }

  std::vector<std::vector<std::string>> Rows;
  for (const std::string &Name : Value.getMemberNames()) {
    Rows.push_back({Name, formatCell(Value[Name])});
  }
  return Rows.empty() ? "none\n" : renderTable(Rows);
}

} // namespace

std::string render(const Json::Value &Value, OutputFormat Format) {
  if (Format == OutputFormat::Json) {
    return writeJsonIndented(Value) + "\n";
  }
  bool IsList = Value.isObject() && Value["items"].isArray();
  return IsList ? renderList(Value["items"]) : renderObject(Value);
}

} // namespace hemlockspar
