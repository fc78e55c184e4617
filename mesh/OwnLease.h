#pragma once

#include "mesh/Store.h"
#include "mesh/StoreClock.h"

namespace hemlockspar {

/// An instance's lease as its row shows it.
struct KeyLeaseRow {
  /// The process that wrote it; processes of one instance differ in it.
  std::uint64_t Process = 0;

  /// Counts the writes of that process, so that each row's text is its own.
  std::uint64_t Count = 0;

  /// Until then, by the store's clock, nobody else may take the keys.
  Duration Until{};

  /// Share of the backend server's slots that were busy.
  double Load = 0;

  std::string toText() const;
  static std::optional<KeyLeaseRow> fromText(const std::string &Text);

  /// The row of an instance whose keys were taken. Rows are never deleted: a
  /// write that is done late must not find the state it expects a second time.
  static KeyLeaseRow closed() { return {}; }

  /// Key of the row of \p Instance.
  static std::string key(const InstanceId &Instance);
};

/// The lease of this process on what its instance owns: a row of the store,
/// renewed by conditional writes. While it lasts only this process may take
/// keys from its instance. It counts from answered writes only; a write whose
/// answer was lost never lengthens it before the row has been read. Free of
/// I/O.
class OwnLease {
public:
  struct Options {
    /// An outage of the store of 4.5 s is everyday, and outlasted by what is
    /// left when it begins. Longer would keep the keys of a lost machine
    /// without an owner for longer.
    Duration Length = std::chrono::milliseconds(8500);

    /// It is renewed when less than this is left; each write is a priced call.
    Duration RenewalThreshold = std::chrono::milliseconds(5200);

    /// Pause after a call that the store did not serve.
    Duration RetryDelay = std::chrono::milliseconds(250);
  };

  OwnLease(InstanceId Instance, std::uint64_t Process, Options Bounds);

  /// Whether the row must be read before anything can be written.
  bool needsRead() const { return !this->VersionKnown && !this->InFlight; }

  /// The write that is due, if any; its answer must come to onCommit.
  std::optional<TableTransaction> prepareRenewal(const StoreClock &Clock,
                                                 double Load, TimePoint Now);

  void onCommit(const StoreCommit &Commit, const StoreClock &Clock,
                TimePoint Now);

  /// The row as it was just read; null when there is none.
  void onRow(const TableRow *Row, const StoreClock &Clock);

  /// Nothing may be done under the lease from this moment on.
  TimePoint expiresAt() const { return this->ExpiresAt; }
  bool isHeld(TimePoint Now) const { return Now < this->ExpiresAt; }

  /// Version of the row as this process last wrote or read it; nothing while a
  /// write is under way or its outcome is not known.
  std::optional<RowVersion> version() const;

  /// The next write is due at once.
  void requestRenewal() { this->RenewalRequested = true; }

  /// Others may have taken keys before this version: what is believed of the
  /// owners must be at least as new.
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
