#pragma once

#include "core/Clock.h"
#include "net/Address.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hemlockspar {

/// An instance that can relay calls to the store.
struct RelayCandidate {
  Address PeerAddress;
  std::string Region;
  std::string DataCenter;
};

/// Orders the instances that are asked to relay calls to the store. Instances
/// fail together when they share a data centre, so consecutive candidates are
/// in different ones. Free of I/O.
class RelaySelector {
public:
  /// Candidates in \p Region are preferred. \p Seed differs between daemons, so
  /// that they do not all ask the same instance.
  RelaySelector(std::string Region, std::uint64_t Seed);

  /// Returns the addresses of \p Candidates in the order in which to ask them.
  std::vector<Address> order(const std::vector<RelayCandidate> &Candidates,
                             TimePoint Now);

  /// The instance at \p Peer has relayed a call.
  void onRelayed(const Address &Peer);

  /// The instance at \p Peer did not relay a call.
  void onFailed(const Address &Peer, TimePoint Now);

private:
  std::string Region;
  std::uint64_t Seed;

  /// The last one that has relayed a call.
  std::optional<Address> Preferred;

  /// When instances last failed; forgotten after SuspectTime.
  std::map<Address, TimePoint> FailedAt;
};

} // namespace hemlockspar
