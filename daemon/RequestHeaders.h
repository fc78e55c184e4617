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

/// From a daemon to a backend server: the grant for the request.
inline constexpr char Keyspace[] = "Hemlockspar-Keyspace";
inline constexpr char Slot[] = "Hemlockspar-Slot";
inline constexpr char Token[] = "Hemlockspar-Token";

/// Time after which the request must not be run, in nanoseconds of the
/// instance's boot-time clock.
inline constexpr char LeaseUntil[] = "Hemlockspar-Lease-Until";
} // namespace headers

/// A parsed request.
struct RoutedRequest {
  std::string RequestId;
  std::string Keyspace;
  std::string Key;

  /// Request class for the admission queue.
  std::string Class;
  std::string Caller;
  bool Idempotent = false;

  /// Received from another daemon; not forwarded again.
  bool Forwarded = false;
  std::string IdempotencyKey;

  /// When the first attempt was sent; set if the caller marks this as a retry.
  std::optional<TimePoint> FirstSentAt;
  TimePoint ArrivedAt;
  TimePoint Deadline;
};

/// Default and upper limit for the timeout of a request.
struct TimeoutBounds {
  std::chrono::milliseconds Default;
  std::chrono::milliseconds Max;
};

/// Parses the target /<key space>/<key>[/...] and the headers of \p Request.
absl::StatusOr<RoutedRequest> parseRequest(const HttpRequest &Request,
                                           TimeoutBounds Bounds, TimePoint Now);

/// Removes the hop-by-hop headers, which apply to one connection only.
void eraseHopByHopHeaders(http::fields &Fields);

/// Removes headers that only daemons may set.
void eraseInternalHeaders(http::fields &Fields);

} // namespace hemlockspar
