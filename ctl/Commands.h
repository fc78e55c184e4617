#pragma once

#include "ctl/Output.h"
#include "net/BlockingClient.h"

#include <absl/status/statusor.h>
#include <iosfwd>
#include <vector>

namespace hemlockspar {

/// Commands for operators: a thin client of the resource API of one daemon.
class Commands {
public:
  /// Prints to \p Out.
  Commands(Address Api, OutputFormat Format, std::ostream &Out);

  /// Runs the command in \p Arguments, which excludes the program name.
  absl::Status run(const std::vector<std::string> &Arguments);

private:
  absl::Status get(const std::vector<std::string> &Arguments);
  absl::Status apply(const std::string &Path);
  absl::Status applyDeclaration(const Json::Value &Declaration);
  absl::Status watch(const std::string &Kind);
  absl::Status remove(const std::string &Kind, const std::string &Name);
  absl::Status explain(const std::string &Keyspace, const std::string &Key);

  absl::StatusOr<Json::Value> sendRequest(HttpRequest Request);
  absl::StatusOr<Json::Value> read(const std::string &Target);

  Address Api;
  OutputFormat Format;
  std::ostream &Out;
  BlockingClient Client;
};

/// Help text of the commands, for --help.
extern const char *const CommandsHelp;

} // namespace hemlockspar
