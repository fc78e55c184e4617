#pragma once

#include "coordination/Identity.h"

namespace hemlockspar {

/// A holder's request to a witness to renew its lease.
struct RenewalRequest {
  InstanceId Holder;
  RowVersion Version = 0;
  std::uint64_t Epoch = 0;

  /// The table version up to which the sender knows every change.
  RowVersion CompleteVersion = 0;
};

/// A witness's answer to a renewal.
struct RenewalReply {
  hemlockspar::Incarnation Incarnation = 0;
  bool Accepted = false;
  RowVersion CompleteVersion = 0;
};

/// An instance's request to a witness to vote on whether a holder's lease has
/// expired.
struct VoteRequest {
  InstanceId Holder;
  RowVersion Version = 0;

  /// Zero when the lease row names no previous version.
  RowVersion PreviousVersion = 0;
};

/// A witness's vote. Having voted a version expired, the witness never
/// acknowledges a renewal of it again.
struct VoteReply {
  hemlockspar::Incarnation Incarnation = 0;
  bool VersionExpired = false;
  bool PreviousExpired = false;
};

/// Load of an instance, as reported to a peer on request.
struct LoadStatus {
  /// Fraction of the backend server's capacity in use; above 1 under overload.
  double Utilization = 0;
  std::uint32_t SlotCount = 0;
  std::uint32_t Capacity = 0;
  bool Accepting = false;
};

} // namespace hemlockspar
