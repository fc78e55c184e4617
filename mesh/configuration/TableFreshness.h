#pragma once

#include "core/Clock.h"

#include <algorithm>
#include <optional>

namespace hemlockspar {

/// How recently the store has confirmed what this process knows of a table.
/// Free of I/O.
class TableFreshness {
public:
  /// All changes of the table until \p AsOf are known here.
  void confirm(TimePoint AsOf) {
    this->AsOf = this->AsOf ? std::max(*this->AsOf, AsOf) : AsOf;
  }

  /// Time since the last confirmed moment; empty before the first.
  std::optional<Duration> age(TimePoint Now) const {
    return this->AsOf ? std::optional<Duration>(Now - *this->AsOf)
                      : std::nullopt;
  }

private:
  std::optional<TimePoint> AsOf;
};

} // namespace hemlockspar
