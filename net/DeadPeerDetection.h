#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>

namespace hemlockspar {

/// How peers that stop responding without a reset are detected. A value of zero
/// disables the check.
struct DeadPeerOptions {
  /// Sent data must be acknowledged within this time.
  std::chrono::milliseconds UnacknowledgedTimeout{0};

  /// An idle connection is probed after this time, and is lost when the probe
  /// is not answered within the same time again.
  std::chrono::seconds ProbeInterval{0};
};

/// Applies \p Options to \p Socket. Options that the system rejects are
/// skipped.
void enableDeadPeerDetection(boost::asio::ip::tcp::socket &Socket,
                             const DeadPeerOptions &Options);

} // namespace hemlockspar
