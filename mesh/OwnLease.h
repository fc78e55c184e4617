#pragma once

#include "mesh/Store.h"
#include "mesh/StoreClock.h"

namespace hemlockspar {

/// Contents of an instance's lease row.
struct KeyLeaseRow {
  /// The process that wrote the row, unique among the processes of one
  /// instance.
  std::uint64_t Process = 0;

  /// Number of the write within that process, so that no two rows have the same
  /// text.
  std::uint64_t Count = 0;

  /// Time on the store's clock until which no other instance may take over the
  /// keys.
  Duration Until{};

  /// Share of the backend server's slots that were busy.
  double Load = 0;

  std::string toText() const;
  static std::optional<KeyLeaseRow> fromText(const std::string &Text);

  /// The row of an instance whose keys were taken over. Rows are never deleted:
  /// a delayed write must not find the state that it expects a second time.
  static KeyLeaseRow closed() { return {}; }

  /// Key of the row of \p Instance.
  static std::string key(const InstanceId &Instance);
};

/// This process's lease on the keys that its instance owns: a row of the store,
/// renewed by conditional writes. While it is valid only this process may move
/// keys away from its instance. Only acknowledged writes extend it; a write
/// whose response was lost extends it only after the row has been read. Free of
/// I/O.
class OwnLease {
public:
  struct Options {
    /// Store outages of 4.5 s occur in normal operation; the lease time that is
    /// left when one begins outlasts it. A longer lease would leave the keys of
    /// a lost machine without an owner for longer.
    Duration Length = std::chrono::milliseconds(8500);

    /// The lease is renewed when less than this is left; the store charges for
    /// each write.
    Duration RenewalThreshold = std::chrono::milliseconds(5200);

    /// Delay after a call that the store did not serve.
    Duration RetryDelay = std::chrono::milliseconds(250);
  };

  OwnLease(InstanceId Instance, std::uint64_t Process, Options Opts);

  /// Whether the row must be read before anything can be written.
  bool needsRead() const { return !this->VersionKnown && !this->InFlight; }

  /// The renewal that is due, if any; its result must be passed to onCommit.
  std::optional<TableTransaction> prepareRenewal(const StoreClock &Clock,
                                                 double Load, TimePoint Now);

  void onCommit(const StoreCommit &Commit, const StoreClock &Clock,
                TimePoint Now);

  /// Takes the row as just read; null when there is none.
  void onRow(const TableRow *Row, const StoreClock &Clock);

  /// Nothing may be done under the lease from then on.
  TimePoint expiresAt() const { return this->ExpiresAt; }
  bool isHeld(TimePoint Now) const { return Now < this->ExpiresAt; }

  /// Version of the row as this process last wrote or read it; nothing while a
  /// write is in flight or its outcome is unknown.
  std::optional<RowVersion> version() const;

  /// Makes the next renewal due at once.
  void requestRenewal() { this->RenewalRequested = true; }

  /// Version since which the lease has been held without a gap. Others may have
  /// taken over keys before it, so the key map in use must be at least as new.
  RowVersion continuousSince() const { return this->ContinuousSince; }

private:
  void markLost();

  InstanceId Instance;
  Options Opts;
  KeyLeaseRow LatestRow;
  bool VersionKnown = false;
  bool InFlight = false;
  bool RenewalRequested = false;

  /// The row is the one that this process wrote last.
  bool Continuous = false;
  RowVersion Version = 0;
  RowVersion ContinuousSince = 0;
  TimePoint ExpiresAt;
  TimePoint RetryAt;
};

} // namespace hemlockspar
