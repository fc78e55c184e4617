#pragma once

#include "coordination/InstanceDirectory.h"

namespace hemlockspar {

/// Builds the table transactions that change slot owners. Each is conditional
/// on the version of every row that it reads, so that one of two concurrent
/// transactions fails. Every slot that changes owner gets a greater fencing
/// token.
class TransferBuilder {
public:
  /// Maximum number of instances that receive the slots of one expired holder.
  static constexpr std::size_t MaxReceivers = 4;

  TransferBuilder(const InstanceDirectory &Directory, const RowCache &Cache);

  /// Ends the lease of \p Lost and gives its slots to \p Receivers, evenly by
  /// capacity; with no receivers the slots go back to their pools.
  TableTransaction takeover(const InstanceId &Lost,
                            const std::vector<InstanceId> &Receivers) const;

  /// Starts a new lease epoch of \p Self, whose earlier process has provably
  /// lost its lease, with the slots that it owned. \p Fresh is the new lease
  /// row; its epoch is set here.
  TableTransaction takeoverBySelf(const InstanceId &Self, LeaseRow Fresh) const;

  /// Moves \p Slots from \p From to \p Receivers, or to the pools when there
  /// are none.
  TableTransaction handover(const InstanceId &From,
                            const SlotsByKeyspace &Slots,
                            const std::vector<InstanceId> &Receivers) const;

  /// Gives up to \p Count slots of the pool of \p Keyspace to \p Receiver.
  TableTransaction claim(const std::string &Keyspace,
                         const InstanceId &Receiver, std::size_t Count) const;

private:
  void distribute(const SlotsByKeyspace &Slots,
                  const std::vector<InstanceId> &Receivers,
                  TableTransaction &Transaction) const;
  void returnToPools(const SlotsByKeyspace &Slots, const std::string &Service,
                     TableTransaction &Transaction) const;

  const InstanceDirectory &Directory;
  const RowCache &Cache;
};

/// Adds a write to \p Transaction, conditional on the row being at
/// \p Version.
void addConditionalWrite(TableTransaction &Transaction, const std::string &Key,
                         RowVersion Version, std::string Value);

} // namespace hemlockspar
