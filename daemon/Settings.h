#pragma once

#include "coordination/Rows.h"
#include "net/Address.h"
#include "net/Http.h"

#include <absl/status/statusor.h>

namespace hemlockspar {

/// Settings of one daemon, read from a YAML file at start.
struct Settings {
  InstanceId Instance;
  std::string Region;
  std::string DataCenter;
  Endpoints Listen;

  /// Addresses at which others reach this daemon; the same as Listen by
  /// default.
  Endpoints Advertise;
  Address TableAddress;
  std::chrono::milliseconds TableTimeout{2000};
  HttpLimits CallerLimits;

  /// Timeout of a request that sets none, and the longest that it may set.
  std::chrono::milliseconds DefaultTimeout{10000};
  std::chrono::milliseconds MaxTimeout{600000};

  /// Most requests that may wait at the same time until their key has an owner.
  std::size_t MaxWaitingRequests = 1000;

  /// How long a draining daemon keeps responding after it has handed over all
  /// slots.
  std::chrono::milliseconds DrainLinger{500};
  std::chrono::milliseconds DrainTimeout{60000};

  std::string LogLevel = "info";
};

/// Reads and validates the file \p Path. The error message has one line for
/// each error, which names the file, line, field and allowed values.
absl::StatusOr<Settings> readSettings(const std::string &Path);

/// Like readSettings, for \p Text; \p Path is used in messages only.
absl::StatusOr<Settings> parseSettings(const std::string &Text,
                                       const std::string &Path);

} // namespace hemlockspar
