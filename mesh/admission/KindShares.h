#pragma once

#include "core/Clock.h"

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace hemlockspar {

/// Requests of one rank and route.
struct RequestKind {
  std::uint32_t Rank = 0;
  std::string RouteName;

  auto operator<=>(const RequestKind &) const = default;
};

/// Keeps kinds of requests from starving while more urgent or shorter ones
/// alone exceed the capacity: a kind is owed a slot while the fraction of its
/// requests that were started is below a share of that of all requests. The
/// share is well below 1, so that no kind is served more often than a more
/// urgent one. Performs no I/O.
class KindShares {
public:
  /// Callers need a quarter of the overall ratio; the margin covers runs that
  /// fail and requests that are refused elsewhere.
  static constexpr double DefaultShare = 0.32;

  /// The share grows by this fraction for each less urgent rank, so that the
  /// ranks that live on their shares are still served in the order of urgency.
  static constexpr double GrowthPerRank = 0.15;

  /// Below this fraction of the share a kind precedes the calls of running
  /// requests as well.
  static constexpr double UrgentFraction = 0.85;

  explicit KindShares(double Share = DefaultShare) : Share(Share) {}

  /// A request of \p Kind has arrived, whether or not it is admitted.
  void onArrival(const RequestKind &Kind, TimePoint Now);

  /// A request of \p Kind was given a slot.
  void onStarted(const RequestKind &Kind, TimePoint Now);

  /// Whether the started fraction of \p Kind is below \p Fraction of its
  /// share, so that the next slot belongs to it although more urgent requests
  /// wait. With a \p Fraction of 1 also whether a less urgent kind was started
  /// more often.
  bool isOwed(const RequestKind &Kind, double Fraction, TimePoint Now) const;

private:
  /// Counts that decay exponentially.
  struct Counts {
    double Arrived = 0;
    double Started = 0;
    TimePoint At{};

    Counts decayed(TimePoint Now) const;
  };

  Counts &updated(const RequestKind &Kind, TimePoint Now);

  /// Whether a less urgent kind was started more often than a kind of \p Rank
  /// with the counts \p Own; a difference of one request is not counted.
  bool isOvertaken(std::uint32_t Rank, const Counts &Own, TimePoint Now) const;
  double shareOf(std::uint32_t Rank) const;

  double Share;
  std::set<std::uint32_t> Ranks;
  std::map<RequestKind, Counts> Kinds;
  Counts All;
};

} // namespace hemlockspar
