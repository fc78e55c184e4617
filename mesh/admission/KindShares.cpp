#include "mesh/admission/KindShares.h"

#include <algorithm>
#include <cmath>

namespace hemlockspar {

namespace {

/// Time constant of the counts: several times the longest waits, so that a
/// burst of one kind does not count as starvation of another.
constexpr double DecaySeconds = 10.0;

/// Further kinds are counted as the most urgent one, which is never owed a slot
/// ahead of others; kinds come from other daemons as well.
constexpr std::size_t MaxKinds = 512;

/// Kinds with fewer recent requests are not compared with more urgent ones.
constexpr double MinCompared = 5;

} // namespace

KindShares::Counts KindShares::Counts::decayed(TimePoint Now) const {
  double Age = std::chrono::duration<double>(Now - this->At).count();
  double Factor = std::exp(-std::max(Age, 0.0) / DecaySeconds);
  return {this->Arrived * Factor, this->Started * Factor, Now};
}

KindShares::Counts &KindShares::updated(const RequestKind &Kind,
                                        TimePoint Now) {
  this->All = this->All.decayed(Now);
  bool Tracked = this->Kinds.size() < MaxKinds || this->Kinds.contains(Kind);
  const RequestKind &Counted = Tracked ? Kind : this->Kinds.begin()->first;
  this->Ranks.insert(Counted.Rank);
  Counts &Own = this->Kinds[Counted];
  Own = Own.decayed(Now);
  return Own;
}

double KindShares::shareOf(std::uint32_t Rank) const {
  auto LessUrgent =
      std::distance(this->Ranks.upper_bound(Rank), this->Ranks.end());
  return this->Share *
         (1 + GrowthPerRank *
                  static_cast<double>(std::min<std::ptrdiff_t>(LessUrgent, 3)));
}

void KindShares::onArrival(const RequestKind &Kind, TimePoint Now) {
  this->updated(Kind, Now).Arrived += 1;
  this->All.Arrived += 1;
}

void KindShares::onStarted(const RequestKind &Kind, TimePoint Now) {
  this->updated(Kind, Now).Started += 1;
  this->All.Started += 1;
}

bool KindShares::isOwed(const RequestKind &Kind, double Fraction,
                        TimePoint Now) const {
  auto Found = this->Kinds.find(Kind);
  if (Found == this->Kinds.end()) {
    return false;
  }
  Counts Own = Found->second.decayed(Now);
  Counts Overall = this->All.decayed(Now);
  double Wanted = this->shareOf(Kind.Rank) * Fraction *
                  (Overall.Arrived > 0 ? Overall.Started / Overall.Arrived : 0);
  return Own.Started < Wanted * Own.Arrived ||
         (Fraction >= 1 && this->isOvertaken(Kind.Rank, Own, Now));
}

bool KindShares::isOvertaken(std::uint32_t Rank, const Counts &Own,
                             TimePoint Now) const {
  return std::any_of(
      this->Kinds.begin(), this->Kinds.end(), [&](const auto &Entry) {
        Counts Other = Entry.second.decayed(Now);
        return Entry.first.Rank > Rank && Other.Arrived >= MinCompared &&
               (Own.Started + 1) * Other.Arrived < Other.Started * Own.Arrived;
      });
}

} // namespace hemlockspar
