#include "mesh/configuration/TableFreshness.h"

#include <algorithm>

namespace hemlockspar {

namespace {

/// The store is asked when nothing has been confirmed for a random time between
/// these. With a call that is answered on its third path this stays below the
/// shortest time in which operators expect a configuration to be in force.
constexpr auto MinCheckAge = std::chrono::milliseconds(1600);
constexpr auto MaxCheckAge = std::chrono::milliseconds(1900);

/// An early check confirms nothing new before this.
constexpr auto EarlyCheckAge = std::chrono::milliseconds(300);

/// Minimum time between two checks.
constexpr auto MinCheckInterval = std::chrono::milliseconds(1000);

} // namespace

TableFreshness::TableFreshness() : CheckAge(MaxCheckAge) {}

void TableFreshness::confirm(RowVersion NewComplete, TimePoint NewAsOf) {
  this->Complete = std::max(this->Complete, NewComplete);
  this->AsOf = this->AsOf ? std::max(*this->AsOf, NewAsOf) : NewAsOf;
}

void TableFreshness::onChange(RowVersion Version) {
  this->NewestChange = std::max(this->NewestChange, Version);
}

void TableFreshness::confirmByPeer(const FreshnessReport &Theirs,
                                   TimePoint AskedAt, TimePoint Now) {
  // Nothing changed between NewestChange and the moment that they tell of, so a
  // view that includes NewestChange was complete at that moment. The request
  // arrived after it was sent, so the moment is not taken for a later one.
  if (this->AsOf && Theirs.Age && Theirs.NewestChange <= this->Complete) {
    this->AsOf = std::max(*this->AsOf, std::min(AskedAt - *Theirs.Age, Now));
  }
}

FreshnessReport TableFreshness::report(TimePoint ArrivedAt) const {
  FreshnessReport Report;
  Report.NewestChange = this->NewestChange;
  if (this->AsOf) {
    Report.Age = ArrivedAt - *this->AsOf;
  }
  return Report;
}

std::optional<Duration> TableFreshness::age(TimePoint Now) const {
  return this->AsOf ? std::optional<Duration>(
                          std::max<Duration>(Now - *this->AsOf, {}))
                    : std::nullopt;
}

bool TableFreshness::isCheckDue(TimePoint Now, bool Early) const {
  bool Checking = this->CheckedAt && Now - *this->CheckedAt < MinCheckInterval;
  Duration DueAge = Early ? EarlyCheckAge : this->CheckAge;
  return this->AsOf && Now - *this->AsOf >= DueAge && !Checking;
}

void TableFreshness::onCheckBegun(TimePoint Now, double Jitter) {
  this->CheckedAt = Now;
  this->CheckAge = std::chrono::duration_cast<Duration>(
      MinCheckAge + (MaxCheckAge - MinCheckAge) * Jitter);
}

} // namespace hemlockspar
