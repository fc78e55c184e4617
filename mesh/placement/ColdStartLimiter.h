#pragma once

#include "core/Clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace hemlockspar {

/// End of a cold period long before the clock of any machine started.
inline constexpr TimePoint NeverCold{-std::chrono::hours(1)};

/// Limits the requests that are sent to the local backend server while it is
/// cold. Answers the load pattern of a server that has just come back to full
/// demand: without a limit the demand that waited for it ends it again. The
/// limit holds in every sliding window of a second, counts what was sent before
/// the server was known to be cold, and grows steadily after the cold has
/// ended. When it refuses urgent requests, less urgent ones get a part of it
/// only. Performs no I/O.
class ColdStartLimiter {
public:
  /// Requests per second that a cold server tolerates; 0 for no limit.
  void setTolerated(double RequestsPerSecond);

  /// The server is cold until \p Until, which may have passed.
  void setColdUntil(TimePoint Until) { this->ColdUntil = Until; }

  /// Whether the limit applies at \p Now, including the time in which it grows.
  bool isActive(TimePoint Now) const;

  /// Remaining time of the cold itself.
  Duration coldLeft(TimePoint Now) const;

  /// Reserves one request of \p Rank; false when the limit is reached. Each
  /// reservation must be followed by trySend or onDropped.
  bool tryReserve(std::uint32_t Rank, TimePoint Now);

  /// Ends a reservation as its request is about to be sent. False when it must
  /// not be sent: the server may have turned cold since the reservation.
  bool trySend(std::uint32_t Rank, TimePoint Now);

  /// The reserved request will not be sent.
  void onDropped();

  /// Number of requests that may be sent at \p Now; empty for any number.
  std::optional<std::size_t> room(TimePoint Now) const;

  /// Time until the next request may be reserved, if nothing else is.
  Duration untilNext(TimePoint Now) const;

  double tolerated() const { return this->Tolerated; }

  /// Number of requests sent within the last second.
  std::size_t sentLately(TimePoint Now) const;

private:
  struct SentRequest {
    TimePoint SentAt;
    std::uint32_t Rank = 0;
  };

  double rate(TimePoint Now) const;
  Duration window(TimePoint Now) const;
  std::size_t limit(TimePoint Now) const;
  void forgetOld(TimePoint Now);
  bool wasRefusedRecently(std::uint32_t LessThan, TimePoint Now) const;

  double Tolerated = 0;
  TimePoint ColdUntil = NeverCold;
  std::deque<SentRequest> Sent;
  std::size_t Reserved = 0;

  /// When a request of each rank was last refused for the limit.
  std::map<std::uint32_t, TimePoint> RefusedAt;
};

} // namespace hemlockspar
