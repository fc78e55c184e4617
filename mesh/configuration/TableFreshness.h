#pragma once

#include "coordination/Table.h"
#include "core/Clock.h"

#include <optional>

namespace hemlockspar {

/// What a daemon tells another in the response to a request: no change after
/// NewestChange had been made at the moment that was Age before the request
/// arrived. The moment may be after the arrival; Age is negative then.
struct FreshnessReport {
  RowVersion NewestChange = 0;

  /// Empty when the store has confirmed nothing yet.
  std::optional<Duration> Age;
};

/// How recently it was confirmed that this process knows all changes of a
/// table, and whether the store should be asked. A wait for changes that is
/// never answered looks like a table that does not change, so that a daemon
/// must not rely on one alone. Confirmations spread with the responses between
/// daemons, so that few of a busy fleet have to ask. Free of I/O.
class TableFreshness {
public:
  TableFreshness();

  /// The store confirmed at some moment from \p AsOf on that all changes up to
  /// \p Complete are known here.
  void confirm(RowVersion Complete, TimePoint AsOf);

  /// The table has a change of \p Version, or may have had one until then.
  void onChange(RowVersion Version);

  /// Another daemon told \p Theirs in its response to a request of \p AskedAt.
  /// It confirms what is known here if no change is missing here.
  void confirmByPeer(const FreshnessReport &Theirs, TimePoint AskedAt,
                     TimePoint Now);

  /// For the response to a request that arrived at \p ArrivedAt.
  FreshnessReport report(TimePoint ArrivedAt) const;

  /// Time since the last confirmed moment; empty before the first.
  std::optional<Duration> age(TimePoint Now) const;

  /// Whether the store should be asked for changes now. \p Early is set for a
  /// few daemons of the fleet, drawn at random, so that what they learn spreads
  /// before the others have to ask. A check that has begun is given time for
  /// its response.
  bool isCheckDue(TimePoint Now, bool Early) const;

  /// A check has begun. \p Jitter from 0 to 1 differs between daemons, so that
  /// they do not all check at the same moment.
  void onCheckBegun(TimePoint Now, double Jitter);

private:
  std::optional<TimePoint> AsOf;
  RowVersion Complete = 0;
  RowVersion NewestChange = 0;
  std::optional<TimePoint> CheckedAt;

  /// The store is asked when nothing has been confirmed for this time.
  Duration CheckAge;
};

} // namespace hemlockspar
