#pragma once

#include "mesh/ServerReport.h"
#include "net/Http.h"

#include <absl/status/statusor.h>

namespace hemlockspar {

/// Kind of a backend server's call to its local daemon.
enum class ServerCallKind { Report, Leave, Unknown };

/// Decodes calls of backend servers to the local daemon and encodes the
/// responses.
class ReportCodec {
public:
  virtual ~ReportCodec() = default;

  /// Returns the kind of \p Request and sets \p ServerId to the caller's ID.
  virtual ServerCallKind kindOf(const HttpRequest &Request,
                                std::string &ServerId) const = 0;

  /// Decodes a report of \p ServerId; the error describes the fault.
  virtual absl::StatusOr<ServerReport>
  decode(const std::string &ServerId, const std::string &Body) const = 0;

  /// Encodes the response to a report; without \p Grants nothing is granted or
  /// renewed.
  virtual std::string encode(const std::optional<KeyGrants> &Grants) const = 0;
};

/// Decodes configurations written by operators.
class ConfigurationCodec {
public:
  virtual ~ConfigurationCodec() = default;

  /// Name of the row that holds the newest configuration.
  virtual std::string rowName() const = 0;

  /// The data centre whose evacuation the row \p RowName asks for as long as it
  /// exists, whatever its value; nothing for other rows.
  virtual std::optional<std::string>
  evacuatedDataCenter(const std::string &RowName) const = 0;

  /// Decodes a configuration; the error describes the fault.
  virtual absl::StatusOr<struct Configuration>
  decode(const std::string &Text) const = 0;
};

} // namespace hemlockspar
