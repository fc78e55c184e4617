#include "mesh/DescriptorShares.h"

#include <algorithm>

namespace hemlockspar {

namespace {

/// Descriptors for files, listening sockets and the event loop.
constexpr std::size_t FileDescriptors = 200;

/// A readiness check, the reports of a backend server and what replaces them
/// need a few connections.
constexpr std::size_t MinServiceConnections = 8;

} // namespace

DescriptorShares::DescriptorShares(std::size_t Descriptors) {
  std::size_t Available =
      Descriptors > FileDescriptors ? Descriptors - FileDescriptors : 0;
  this->Callers = Available * 5 / 16;
  this->Peers = Available / 4;
  this->Service = std::max(Available / 64, MinServiceConnections);
  this->IdlePeerConnections = Available / 16;
}

} // namespace hemlockspar
