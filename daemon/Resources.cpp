#include "daemon/Resources.h"

#include "coordination/QueueDiscipline.h"
#include "coordination/Rows.h"
#include "coordination/SlotBalancer.h"
#include "core/EnumNames.h"
#include "core/Json.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <algorithm>

namespace hemlockspar {

namespace {

constexpr std::array<const char *, 3> KindNames = {"services", "keyspaces",
                                                   "policies"};

constexpr std::size_t MaxStoredRequestIds = 8;
constexpr std::uint64_t MaxSlots = 65536;

enum class FieldType { Text, Number, Choice };

/// Validation rule for one field of a declaration.
struct FieldRule {
  const char *Name;
  FieldType Type;
  bool Required;
  std::uint64_t Min;
  std::uint64_t Max;
  std::vector<std::string> Choices;
};

const std::vector<FieldRule> &rulesOf(ResourceKind Kind) {
  static const std::vector<FieldRule> ServiceRules = {
      {"description", FieldType::Text, false, 0, 1024, {}},
  };
  static const std::vector<FieldRule> KeyspaceRules = {
      {"service", FieldType::Text, true, 1, 64, {}},
      {"slots", FieldType::Number, true, 1, MaxSlots, {}},
      {"description", FieldType::Text, false, 0, 1024, {}},
  };
  static const std::vector<FieldRule> PolicyRules = {
      {"placement",
       FieldType::Choice,
       false,
       0,
       0,
       {nameOf(PlacementPreference::FewMoves),
        nameOf(PlacementPreference::Peak)}},
      {"queue",
       FieldType::Choice,
       false,
       0,
       0,
       {nameOf(QueueOrder::Fifo), nameOf(QueueOrder::Classed)}},
      {"description", FieldType::Text, false, 0, 1024, {}},
  };

  switch (Kind) {
  case ResourceKind::Service:
    return ServiceRules;
  case ResourceKind::Keyspace:
    return KeyspaceRules;
  case ResourceKind::Policy:
    return PolicyRules;
  }
  return ServiceRules;
}

std::string checkField(const FieldRule &Rule, const Json::Value &Value) {
  switch (Rule.Type) {
  case FieldType::Text:
    if (!Value.isString() || Value.asString().size() < Rule.Min ||
        Value.asString().size() > Rule.Max) {
      return absl::StrCat("must be a string of ", Rule.Min, " to ", Rule.Max,
                          " bytes");
    }
    return "";
  case FieldType::Number:
    if (!Value.isUInt64() || Value.asUInt64() < Rule.Min ||
        Value.asUInt64() > Rule.Max) {
      return absl::StrCat("must be a whole number from ", Rule.Min, " to ",
                          Rule.Max);
    }
    return "";
  case FieldType::Choice:
    if (!Value.isString() ||
        std::find(Rule.Choices.begin(), Rule.Choices.end(), Value.asString()) ==
            Rule.Choices.end()) {
      return "must be one of " + absl::StrJoin(Rule.Choices, ", ");
    }
    return "";
  }
  return "";
}

bool isValidName(const std::string &Name) {
  auto Allowed = [](char C) {
    return (C >= 'a' && C <= 'z') || (C >= '0' && C <= '9') || C == '-' ||
           C == '_';
  };
  return !Name.empty() && Name.size() <= 64 &&
         std::all_of(Name.begin(), Name.end(), Allowed);
}

} // namespace

const char *nameOf(ResourceKind Kind) { return enumName(KindNames, Kind); }

std::optional<ResourceKind> resourceKindOf(const std::string &Name) {
  return enumFromName<ResourceKind>(KindNames, Name);
}

std::string resourceKey(ResourceKind Kind, const std::string &Name) {
  return absl::StrCat(ConfigPrefix, nameOf(Kind), "/", Name);
}

Json::Value Resource::toJson() const {
  Json::Value Value;
  Value["kind"] = nameOf(this->Kind);
  Value["name"] = this->Name;
  Value["version"] = Json::UInt64(this->Version);
  Value["spec"] = this->Spec;
  return Value;
}

std::string Resource::toRowText() const {
  Json::Value Value;
  Value["spec"] = this->Spec;
  Value["requests"] = Json::arrayValue;

  std::size_t Skip = this->RequestIds.size() > MaxStoredRequestIds
                         ? this->RequestIds.size() - MaxStoredRequestIds
                         : 0;
  for (std::size_t Index = Skip; Index < this->RequestIds.size(); ++Index) {
    Value["requests"].append(this->RequestIds[Index]);
  }
  return writeJson(Value);
}

std::optional<Resource> Resource::fromRow(const TableRow &Row) {
  auto Rest = stripPrefix(Row.Key, ConfigPrefix);
  std::size_t Slash = Rest ? Rest->find('/') : std::string::npos;
  if (Slash == std::string::npos || !Row.Value) {
    return std::nullopt;
  }

  auto Kind = resourceKindOf(Rest->substr(0, Slash));
  auto Value = readJson(*Row.Value);
  if (!Kind || !Value || !Value->isObject()) {
    return std::nullopt;
  }

  Resource Result;
  Result.Kind = *Kind;
  Result.Name = Rest->substr(Slash + 1);
  Result.Version = Row.Version;
  Result.Spec = (*Value)["spec"];
  for (const Json::Value &Id : (*Value)["requests"]) {
    if (Id.isString()) {
      Result.RequestIds.push_back(Id.asString());
    }
  }
  return Result;
}

bool findResource(const RowCache &Cache, ResourceKind Kind,
                  const std::string &Name, Resource &Found) {
  const TableRow *Row = Cache.find(resourceKey(Kind, Name));
  auto Read = Row ? Resource::fromRow(*Row) : std::nullopt;
  if (!Read) {
    return false;
  }

  Found = std::move(*Read);
  return true;
}

std::vector<std::string> validateSpec(ResourceKind Kind,
                                      const std::string &Name,
                                      const Json::Value &Spec) {
  std::vector<std::string> Errors;

  if (!isValidName(Name)) {
    Errors.push_back("name: must be 1 to 64 of a-z, 0-9, '-' and '_'");
  }
  if (!Spec.isObject()) {
    Errors.push_back("spec: must be an object");
    return Errors;
  }

  std::vector<std::string> Allowed;
  for (const FieldRule &Rule : rulesOf(Kind)) {
    Allowed.push_back(Rule.Name);
    if (!Spec.isMember(Rule.Name)) {
      if (Rule.Required) {
        Errors.push_back(absl::StrCat("spec.", Rule.Name, ": is missing"));
      }
      continue;
    }

    std::string Message = checkField(Rule, Spec[Rule.Name]);
    if (!Message.empty()) {
      Errors.push_back(absl::StrCat("spec.", Rule.Name, ": ", Message));
    }
  }

  for (const std::string &Field : Spec.getMemberNames()) {
    if (std::find(Allowed.begin(), Allowed.end(), Field) == Allowed.end()) {
      Errors.push_back(absl::StrCat("spec.", Field,
                                    ": is unknown; allowed are ",
                                    absl::StrJoin(Allowed, ", ")));
    }
  }
  return Errors;
}

} // namespace hemlockspar
