#pragma once

#include "core/Clock.h"

namespace hemlockspar {

/// What bounds a request's wait for a slot.
struct WaitTerms {
  /// The longest wait that whoever sent the request allows; it may know of
  /// other instances.
  Duration Allowed{};

  /// Time left until the route's objective; negative when it has passed.
  Duration ToAim{};

  /// Time left until an answer is of no use.
  Duration ToEnd{};

  /// Mean time that requests of the route hold a slot here.
  Duration Run{};
};

/// The longest that a request may be expected to wait for a slot; one that
/// would wait longer is refused when it arrives. Answers a load that stays
/// above what the backend server can do: there the queue settles at this
/// bound, so whatever is let in waits about that long. A bound by the end of
/// the caller's patience makes every answer a late one; one by the objective
/// leaves the same number of answers, in time. Free of I/O.
Duration longestWait(const WaitTerms &Terms);

} // namespace hemlockspar
