#pragma once

#include "mesh/OwnLease.h"

#include <map>

namespace hemlockspar {

/// All instances' leases as they were last read, and their loads. Free of I/O.
class LeaseCache {
public:
  /// Takes in a reading of the whole table; replaces what was known.
  void replaceAll(const StoreRows &Read);

  /// Whether the table has been read.
  bool hasBeenRead() const { return this->ReadStoreTime.has_value(); }

  /// The load of \p Holder when its lease lasts at \p StoreTime; nothing when
  /// it has none, or it has ended.
  std::optional<double> loadIfActive(const InstanceId &Holder,
                                     Duration StoreTime) const;

  /// \p Holder has told its load; newer than its lease's.
  void setLoad(const InstanceId &Holder, double Load);

  /// Whether the lease of \p Holder had ended when the table was read.
  bool hasExpired(const InstanceId &Holder) const;

  /// Adds to \p Write that the lease of \p Holder, which has ended, is closed,
  /// and that it is still the one that was read.
  void appendClose(const InstanceId &Holder, TableTransaction &Write) const;

private:
  struct CachedLease {
    KeyLeaseRow Row;
    RowVersion Version = 0;
  };

  std::map<InstanceId, CachedLease> Leases;

  /// The store's clock at the reading.
  std::optional<Duration> ReadStoreTime;
};

} // namespace hemlockspar
