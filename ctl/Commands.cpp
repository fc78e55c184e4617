#include "ctl/Commands.h"

#include "core/Json.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <iostream>
#include <yaml-cpp/yaml.h>

namespace hemlockspar {

namespace {

/// Longer than the server holds a watch request open.
constexpr auto CallTimeout = std::chrono::seconds(40);

/// Converts YAML to JSON. Unquoted unsigned integers and booleans keep their
/// type.
Json::Value toJson(const YAML::Node &Node) {
  Json::Value Value;

  if (Node.IsMap()) {
    Value = Json::objectValue;
    for (const auto &Entry : Node) {
      Value[Entry.first.Scalar()] = toJson(Entry.second);
    }
    return Value;
  }
  if (Node.IsSequence()) {
    Value = Json::arrayValue;
    for (const auto &Entry : Node) {
      Value.append(toJson(Entry));
    }
    return Value;
  }
  if (!Node.IsScalar()) {
    return Value;
  }

  std::uint64_t Number = 0;
  bool Boolean = false;
  bool Unquoted = Node.Tag() != "!";
  if (Unquoted && YAML::convert<std::uint64_t>::decode(Node, Number)) {
    return Json::UInt64(Number);
  }
  if (Unquoted && YAML::convert<bool>::decode(Node, Boolean)) {
    return Boolean;
  }
  return Node.Scalar();
}

absl::StatusOr<std::vector<Json::Value>>
readDeclarations(const std::string &Path) {
  std::vector<Json::Value> Declarations;

  try {
    for (const YAML::Node &Document : YAML::LoadAllFromFile(Path)) {
      if (!Document.IsSequence()) {
        Declarations.push_back(toJson(Document));
        continue;
      }
      for (const YAML::Node &Entry : Document) {
        Declarations.push_back(toJson(Entry));
      }
    }
  } catch (const YAML::Exception &Exception) {
    return absl::InvalidArgumentError(
        absl::StrCat(Path, ":", Exception.mark.line + 1, ": ", Exception.msg));
  }
  return Declarations;
}

absl::Status usageError() {
  return absl::InvalidArgumentError(absl::StrCat(
      "unknown command or wrong number of arguments\n", CommandsHelp));
}

} // namespace

const char *const CommandsHelp =
    "hemlocksparctl [--api HOST:PORT] [--output table|json] COMMAND\n"
    "\n"
    "  get KIND            list all: services, keyspaces, policies "
    "(declared),\n"
    "                      instances, ownership (observed)\n"
    "  get KIND NAME       show one declared resource and its version\n"
    "  get in-force [V]    on how many instances version V is in force\n"
    "  apply FILE          declare everything in a YAML file; each entry has\n"
    "                      kind, name and spec, and may have the version that\n"
    "                      it was edited from\n"
    "  watch KIND          print the list again whenever something changes\n"
    "  delete KIND NAME    delete a declared resource\n"
    "  explain KEYSPACE KEY   which instance owns a key, and why\n"
    "\n"
    "Examples:\n"
    "  hemlocksparctl apply examples/derwent-mist/declarations.yaml\n"
    "  hemlocksparctl get ownership\n"
    "  hemlocksparctl explain rosters therapist-7\n";

Commands::Commands(Address Api, OutputFormat Format, std::ostream &Out)
    : Api(std::move(Api)), Format(Format), Out(Out) {}

absl::Status Commands::run(const std::vector<std::string> &Arguments) {
  if (Arguments.empty()) {
    return usageError();
  }

  const std::string &Verb = Arguments[0];
  if (Verb == "get" && (Arguments.size() == 2 || Arguments.size() == 3)) {
    return this->get(Arguments);
  }
  if (Verb == "apply" && Arguments.size() == 2) {
    return this->apply(Arguments[1]);
  }
  if (Verb == "watch" && Arguments.size() == 2) {
    return this->watch(Arguments[1]);
  }
  if (Verb == "delete" && Arguments.size() == 3) {
    return this->remove(Arguments[1], Arguments[2]);
  }
  if (Verb == "explain" && Arguments.size() == 3) {
    return this->explain(Arguments[1], Arguments[2]);
  }
  return usageError();
}

absl::StatusOr<Json::Value> Commands::sendRequest(HttpRequest Request) {
  ExchangeResult Exchange =
      this->Client.exchange(this->Api, std::move(Request), CallTimeout);
  if (Exchange.Outcome != ExchangeOutcome::Answered) {
    return absl::UnavailableError(absl::StrCat(
        "no response from ", this->Api.toText(), ": ", Exchange.Error));
  }

  auto Body = readJson(Exchange.Response.body());
  if (!Body) {
    return absl::InternalError("the response is not JSON");
  }
  if (Exchange.Response.result_int() >= 400) {
    return absl::FailedPreconditionError(absl::StrCat(
        getString(*Body, "title"), ": ", getString(*Body, "detail")));
  }
  return *Body;
}

absl::StatusOr<Json::Value> Commands::read(const std::string &Target) {
  return this->sendRequest(HttpRequest(http::verb::get, Target, 11));
}

absl::Status Commands::get(const std::vector<std::string> &Arguments) {
  std::vector<std::string> Path(Arguments.begin() + 1, Arguments.end());
  auto Body = this->read("/v1/" + absl::StrJoin(Path, "/"));
  if (Body.ok()) {
    this->Out << render(*Body, this->Format);
  }
  return Body.status();
}

absl::Status Commands::apply(const std::string &Path) {
  auto Declarations = readDeclarations(Path);
  if (!Declarations.ok()) {
    return Declarations.status();
  }

  for (const Json::Value &Declaration : *Declarations) {
    absl::Status Applied = this->applyDeclaration(Declaration);
    if (!Applied.ok()) {
      return absl::Status(Applied.code(),
                          absl::StrCat(getString(Declaration, "kind"), " ",
                                       getString(Declaration, "name"), ": ",
                                       Applied.message()));
    }
  }
  return absl::OkStatus();
}

absl::Status Commands::applyDeclaration(const Json::Value &Declaration) {
  std::string Kind = getString(Declaration, "kind");
  std::string Name = getString(Declaration, "name");
  if (Kind.empty() || Name.empty()) {
    return absl::InvalidArgumentError("each entry needs kind, name and spec");
  }

  std::string Target = absl::StrCat("/v1/", Kind, "/", Name);
  auto Known = this->read(Target);
  bool Exists = Known.ok();
  std::uint64_t Version = getUnsigned(
      Declaration, "version", Exists ? getUnsigned(*Known, "version") : 0);

  bool Unchanged = Exists && (*Known)["spec"] == Declaration["spec"];
  if (Unchanged) {
    this->Out << Kind << " " << Name << " unchanged\n";
    return absl::OkStatus();
  }

  HttpRequest Request(http::verb::put, Target, 11);
  Request.set(http::field::content_type, "application/json");
  if (Version == 0) {
    Request.set(http::field::if_none_match, "*");
  } else {
    Request.set(http::field::if_match, absl::StrCat("\"", Version, "\""));
  }

  Json::Value Body;
  Body["spec"] = Declaration["spec"];
  Request.body() = writeJson(Body);

  auto Written = this->sendRequest(std::move(Request));
  if (Written.ok()) {
    this->Out << Kind << " " << Name << (Exists ? " changed" : " created")
              << ", version " << getUnsigned(*Written, "version") << "\n";
  }
  return Written.status();
}

absl::Status Commands::watch(const std::string &Kind) {
  std::uint64_t Version = 0;

  while (true) {
    auto Body = this->read(absl::StrCat("/v1/", Kind, "?watch=", Version));
    if (!Body.ok()) {
      return Body.status();
    }

    std::uint64_t NewVersion = getUnsigned(*Body, "version");
    if (NewVersion != Version) {
      this->Out << "-- version " << NewVersion << "\n"
                << render(*Body, this->Format) << std::flush;
    }
    Version = NewVersion;
  }
}

absl::Status Commands::remove(const std::string &Kind,
                              const std::string &Name) {
  std::string Target = absl::StrCat("/v1/", Kind, "/", Name);
  auto Known = this->read(Target);
  if (!Known.ok()) {
    return Known.status();
  }

  HttpRequest Request(http::verb::delete_, Target, 11);
  Request.set(http::field::if_match,
              absl::StrCat("\"", getUnsigned(*Known, "version"), "\""));
  auto Deleted = this->sendRequest(std::move(Request));
  if (Deleted.ok()) {
    this->Out << Kind << " " << Name << " deleted\n";
  }
  return Deleted.status();
}

absl::Status Commands::explain(const std::string &Keyspace,
                               const std::string &Key) {
  auto Body = this->read(absl::StrCat("/v1/explain/", Keyspace, "/", Key));
  if (Body.ok()) {
    this->Out << render(*Body, this->Format);
  }
  return Body.status();
}

} // namespace hemlockspar
