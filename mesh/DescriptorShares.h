#pragma once

#include <cstddef>

namespace hemlockspar {

/// Divides the file descriptors of a process, so that callers cannot take those
/// that readiness checks, reports, the store and peers need. What is not listed
/// remains for the store, calls between daemons and the backend server.
struct DescriptorShares {
  /// \p Descriptors is the number that the process may use.
  explicit DescriptorShares(std::size_t Descriptors);

  /// Connections of callers; as many again may be open to other daemons while
  /// their requests are forwarded.
  std::size_t Callers;

  /// Connections of other daemons.
  std::size_t Peers;

  /// Connections for each of readiness checks, reports and metrics.
  std::size_t Service;

  /// Idle connections to other daemons.
  std::size_t IdlePeerConnections;
};

} // namespace hemlockspar
