#pragma once

#include "core/Clock.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockspar {

/// Whether a request with an unknown outcome may be retried.
enum class RetryPolicy {
  /// It may run any number of times.
  Repeatable,
  /// It may run at most once.
  OnceOnly,
};

const char *nameOf(RetryPolicy Rule);

/// A service that receives a part of a route's requests.
struct RouteTarget {
  std::string Service;

  /// Its share is Weight divided by the sum over the route's targets.
  double Weight = 1;
};

/// Targets and limits of the requests for one host and path prefix.
struct Route {
  std::string Name;
  std::string Host;

  /// Begins and ends with a slash.
  std::string Prefix;
  std::vector<RouteTarget> Targets;
  RetryPolicy Retry = RetryPolicy::OnceOnly;

  /// Maximum time until the caller receives a response.
  Duration Timeout{};

  /// Latency objective: a response within this time is worth most to the
  /// caller.
  Duration Objective{};

  /// Maximum number of backend servers to which one request is sent.
  std::uint32_t MaxAttempts = 1;

  /// Priority rank of the route; 0 is served first.
  std::uint32_t Priority = 0;

  /// The only regions in which requests may be served and their bodies stored;
  /// without a value anywhere, with an empty list nowhere.
  std::optional<std::vector<std::string>> HomeRegions;
};

/// Declaration of a service.
struct ServiceDeclaration {
  std::string Name;

  /// Connections that one backend server accepts from all clients together.
  std::uint32_t MaxConnections = 0;

  /// Each key is owned by one backend server at a time.
  bool Keyed = false;

  /// How long requests for a key are slow when it moves without the previous
  /// owner's state.
  Duration WarmUp{};

  /// How long a backend server stays cold after it has started.
  Duration ColdStart{};

  /// Requests per second that a cold backend server tolerates; 0 for no bound.
  double ColdRequestsPerSecond = 0;

  /// Path at which a backend server tells its state; empty when it does not.
  std::string HealthPath;
};

/// Limits on callers' requests and connections.
struct CallerLimits {
  std::uint32_t HeaderBytes = 16 << 10;
  std::uint64_t BodyBytes = 64 << 20;
  Duration HeaderTimeout = std::chrono::seconds(3);
  Duration IdleTimeout = std::chrono::seconds(15);
};

/// One version of the operator's configuration; immutable.
struct Configuration {
  std::uint64_t Version = 0;
  std::vector<Route> Routes;
  std::map<std::string, ServiceDeclaration> Services;
  CallerLimits Limits;

  /// Returns the route of \p Host with the longest matching prefix of \p Path,
  /// or null. The port in \p Host is ignored.
  const Route *findRoute(std::string_view Host, std::string_view Path) const;

  /// Returns the route called \p Name, or null.
  const Route *findRouteByName(std::string_view Name) const;

  /// Returns the declaration of \p Service, or null.
  const ServiceDeclaration *findService(const std::string &Service) const;

  /// Whether keys of \p Service have owners.
  bool isKeyed(const std::string &Service) const;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

} // namespace hemlockspar
