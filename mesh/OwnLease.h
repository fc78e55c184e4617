#pragma once

#include "mesh/Store.h"
#include "mesh/StoreClock.h"

namespace hemlockspar {

/// An instance's lease as its row shows it.
struct KeyLease {
  /// The process that wrote it; processes of one instance differ in it.
  std::uint64_t Process = 0;

  /// Counts the writes of that process, so that each row's text is its own.
  std::uint64_t Count = 0;

  /// Until then, by the store's clock, nobody else may take the keys.
  Duration Until{};

  /// Share of the backend server's slots that were busy.
  double Load = 0;

  std::string toText() const;
  static std::optional<KeyLease> fromText(const std::string &Text);

  /// The row of an instance whose keys were taken. Rows are never deleted: a
  /// write that is done late must not find the state it expects a second time.
  static KeyLease ended() { return {}; }

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
  struct Terms {
    /// An outage of the store of 4.5 s is everyday, and outlasted by what is
    /// left when it begins. Longer would keep the keys of a lost machine
    /// without an owner for longer.
    Duration Length = std::chrono::milliseconds(8500);

    /// It is renewed when less than this is left; each write is a priced call.
    Duration RenewBelow = std::chrono::milliseconds(5200);

    /// Pause after a call that the store did not serve.
    Duration RetryPause = std::chrono::milliseconds(250);
  };

  OwnLease(InstanceId Instance, std::uint64_t Process, Terms Bounds);

  /// Whether the row must be read before anything can be written.
  bool needsRead() const { return !this->VersionKnown && !this->InFlight; }

  /// The write that is due, if any; its answer must come to onCommit.
  std::optional<TableTransaction> takeDue(const StoreClock &Clock, double Load,
                                          TimePoint Now);

  void onCommit(const StoreCommit &Commit, const StoreClock &Clock,
                TimePoint Now);

  /// The row as it was just read; null when there is none.
  void onRow(const TableRow *Row, const StoreClock &Clock);

  /// Nothing may be done under the lease from this moment on.
  TimePoint endsAt() const { return this->EndsAt; }
  bool holds(TimePoint Now) const { return Now < this->EndsAt; }

  /// Version of the row as this process last wrote or read it; nothing while a
  /// write is under way or its outcome is not known.
  std::optional<RowVersion> version() const;

  /// The next write is due at once.
  void renewSoon() { this->Hurry = true; }

  /// Others may have taken keys before this version: what is believed of the
  /// owners must be at least as new.
  RowVersion unbrokenSince() const { return this->UnbrokenSince; }

private:
  void breakOff();

  InstanceId Instance;
  Terms Bounds;
  KeyLease Next;
  bool VersionKnown = false;
  bool InFlight = false;
  bool Hurry = false;

  /// The row is the one that this process wrote last.
  bool Unbroken = false;
  RowVersion Version = 0;
  RowVersion UnbrokenSince = 0;
  TimePoint EndsAt;
  TimePoint RetryAt;
};

} // namespace hemlockspar
