#pragma once

#include "mesh/OwnLease.h"

#include <map>

namespace hemlockspar {

/// All instances' leases as of the last read, and their loads. Free of I/O.
class LeaseCache {
public:
  /// Replaces all entries with the rows of a read of the whole table.
  void replaceAll(const StoreRows &Read);

  /// Whether the table has been read.
  bool hasBeenRead() const { return this->ReadStoreTime.has_value(); }

  /// The load of \p Holder when its lease is valid at \p StoreTime; nothing
  /// when it has none, or it has expired.
  std::optional<double> loadIfActive(const InstanceId &Holder,
                                     Duration StoreTime) const;

  /// Sets a load that \p Holder reported, which is newer than the one in its
  /// lease.
  void setLoad(const InstanceId &Holder, double Load);

  /// Whether the lease of \p Holder had expired when the table was read.
  bool hasExpired(const InstanceId &Holder) const;

  /// Adds to \p Write the closing of \p Holder's expired lease, on condition
  /// that its row has not changed since it was read.
  void appendClose(const InstanceId &Holder, TableTransaction &Write) const;

private:
  struct CachedLease {
    KeyLeaseRow Row;
    RowVersion Version = 0;
  };

  std::map<InstanceId, CachedLease> Leases;

  /// The store's clock at the time of the read.
  std::optional<Duration> ReadStoreTime;
};

} // namespace hemlockspar
