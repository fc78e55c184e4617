#pragma once

#include "core/Clock.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockspar {

/// What may be done with a request whose outcome is not known.
enum class RetryPolicy {
  /// It may run any number of times.
  Repeatable,
  /// It may run once at most.
  OnceOnly,
};

/// Name of \p Rule for logs.
const char *nameOf(RetryPolicy Rule);

/// A service that gets a part of a route's requests.
struct RouteTarget {
  std::string Service;

  /// Its part is Weight divided by the sum over the route's targets.
  double Weight = 1;
};

/// Where requests of one host and path prefix go, and under which limits.
struct Route {
  std::string Name;
  std::string Host;

  /// Begins and ends with a slash.
  std::string Prefix;
  std::vector<RouteTarget> Targets;
  RetryPolicy Retry = RetryPolicy::OnceOnly;

  /// The longest that a caller is kept waiting.
  Duration Timeout{};

  /// An answer within this time is worth most to the caller.
  Duration Objective{};

  /// Backend servers to which one request may be sent.
  std::uint32_t MaxAttempts = 1;

  /// Rank among routes; 0 goes first.
  std::uint32_t Priority = 0;
};

/// What is declared of a service.
struct ServiceDeclaration {
  std::string Name;

  /// Connections that one backend server takes from all clients together.
  std::uint32_t MaxConnections = 0;

  /// Each key belongs to one backend server at a time.
  bool Keyed = false;

  /// How long keys are slow that come without their last owner's state.
  Duration WarmUp{};
};

/// Bounds of what callers may send.
struct CallerLimits {
  std::uint32_t HeaderBytes = 16 << 10;
  std::uint64_t BodyBytes = 64 << 20;
  Duration HeaderTimeout = std::chrono::seconds(3);
  Duration IdleTimeout = std::chrono::seconds(15);
};

/// One version of what the operator declares; never changed once made.
struct Configuration {
  std::uint64_t Version = 0;
  std::vector<Route> Routes;
  std::map<std::string, ServiceDeclaration> Services;
  CallerLimits Limits;

  /// The route of \p Host with the longest prefix of \p Path; null when there
  /// is none. The port of \p Host is ignored.
  const Route *findRoute(std::string_view Host, std::string_view Path) const;

  /// Whether the keys of \p Service are owned.
  bool isKeyed(const std::string &Service) const;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

} // namespace hemlockspar
