#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>

namespace hemlockspar {

/// How a connection that has gone silent without a reset is noticed; zero
/// leaves a check out.
struct DeadPeerOptions {
  /// What was sent must be acknowledged within this time.
  std::chrono::milliseconds UnacknowledgedTimeout{0};

  /// An idle connection is probed after this time, and is lost when the probe
  /// is not answered within as long again.
  std::chrono::seconds ProbeInterval{0};
};

/// Sets the options of \p Socket for \p Checks; where the system refuses one,
/// the others still hold.
void enableDeadPeerDetection(boost::asio::ip::tcp::socket &Socket,
                             const DeadPeerOptions &Options);

} // namespace hemlockspar
