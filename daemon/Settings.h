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

  /// Where others reach this daemon; the same as Listen unless stated.
  Endpoints Advertise;
  Address TableAddress;
  std::chrono::milliseconds TableTimeout{2000};
  HttpLimits CallerLimits;

  /// Deadline of a request that states none, and the longest it may state.
  std::chrono::milliseconds DefaultTimeout{10000};
  std::chrono::milliseconds MaxTimeout{600000};

  /// Requests that may wait for an owner to become known.
  std::size_t MaxWaitingRequests = 1000;

  /// How long a draining daemon goes on answering after it owns nothing.
  std::chrono::milliseconds DrainLinger{500};
  std::chrono::milliseconds DrainTimeout{60000};

  std::string LogLevel = "info";
};

/// Reads and checks \p Path. The message of a failure names file, line, field
/// and what is allowed, one line for each fault.
absl::StatusOr<Settings> readSettings(const std::string &Path);

/// As readSettings, from text; \p Path is used in messages only.
absl::StatusOr<Settings> parseSettings(const std::string &Text,
                                       const std::string &Path);

} // namespace hemlockspar
