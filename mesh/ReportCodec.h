#pragma once

#include "mesh/ServerReport.h"
#include "net/Http.h"

#include <absl/status/statusor.h>

namespace hemlockspar {

/// What a backend server wants of the daemon beside it.
enum class ServerCallKind { Report, Leave, Unknown };

/// How backend servers speak to the daemon beside them.
class ReportCodec {
public:
  virtual ~ReportCodec() = default;

  /// What \p Request asks for; \p ServerId gets the caller's name.
  virtual ServerCallKind kindOf(const HttpRequest &Request,
                                std::string &ServerId) const = 0;

  /// Reads a report of \p ServerId; the error says what is wrong with it.
  virtual absl::StatusOr<ServerReport>
  decode(const std::string &ServerId, const std::string &Body) const = 0;

  /// The answer to a report; without \p Grants nothing is granted or renewed.
  virtual std::string encode(const std::optional<KeyGrants> &Grants) const = 0;
};

/// How operators' configurations are written.
class ConfigurationCodec {
public:
  virtual ~ConfigurationCodec() = default;

  /// The row that holds the newest configuration.
  virtual std::string rowName() const = 0;

  /// Reads a configuration; the error says what is wrong with it.
  virtual absl::StatusOr<struct Configuration>
  decode(const std::string &Text) const = 0;
};

} // namespace hemlockspar
