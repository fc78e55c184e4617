#pragma once

#include "coordination/Slots.h"
#include "core/Clock.h"
#include "net/Http.h"

#include <absl/status/statusor.h>

namespace hemlockspar {

/// Headers between callers, daemons and backend servers.
namespace headers {
inline constexpr char Outcome[] = "Hemlockspar-Outcome";
inline constexpr char Reason[] = "Hemlockspar-Reason";
inline constexpr char Owner[] = "Hemlockspar-Owner";
inline constexpr char RequestId[] = "Hemlockspar-Request-Id";
inline constexpr char TimeoutMs[] = "Hemlockspar-Timeout-Ms";
inline constexpr char AttemptAgeMs[] = "Hemlockspar-Attempt-Age-Ms";
inline constexpr char Caller[] = "Hemlockspar-Caller";
inline constexpr char IdempotencyKey[] = "Idempotency-Key";

/// From a daemon to a backend server: what the request was granted under.
inline constexpr char Keyspace[] = "Hemlockspar-Keyspace";
inline constexpr char Slot[] = "Hemlockspar-Slot";
inline constexpr char Token[] = "Hemlockspar-Token";

/// Boot-time clock of the instance, nanoseconds: not to be run after this.
inline constexpr char LeaseUntil[] = "Hemlockspar-Lease-Until";
} // namespace headers

/// One request as the request path sees it.
struct RoutedRequest {
  std::string RequestId;
  std::string Keyspace;
  std::string Key;

  /// Class for the admission queue.
  std::string Class;
  std::string Caller;
  bool Idempotent = false;

  /// Came from another daemon; it is not forwarded again.
  bool Forwarded = false;
  std::string IdempotencyKey;

  /// Set when the caller says that this is a repeat.
  std::optional<TimePoint> FirstSentAt;
  TimePoint ArrivedAt;
  TimePoint Deadline;
};

/// Bounds for the deadline of a request.
struct TimeoutBounds {
  std::chrono::milliseconds Default;
  std::chrono::milliseconds Max;
};

/// Reads the target /<key space>/<key>[/...] and the headers of \p Request.
absl::StatusOr<RoutedRequest> parseRequest(const HttpRequest &Request,
                                           TimeoutBounds Bounds, TimePoint Now);

/// Removes headers that concern one connection only.
void eraseHopByHopHeaders(http::fields &Fields);

/// Removes headers that only daemons may set.
void eraseInternalHeaders(http::fields &Fields);

} // namespace hemlockspar
