#pragma once

#include "core/Clock.h"

#include <cstddef>
#include <vector>

namespace hemlockspar {

/// How a call is sent to the store.
enum class StorePath {
  Direct,
  /// Directly, but not over a connection that was open before: such a
  /// connection may be silent although the store can be reached.
  DirectOnNewConnection,
  /// Through another instance.
  Relay,
};

/// What a hedged call knows of the direct path.
enum class DirectPath {
  /// The last direct call was answered.
  Working,
  /// The store did not respond; the call is to probe whether it does again.
  Probed,
  /// The store did not respond, and another call probes it.
  Lost,
};

/// How long an attempt may stay unanswered before others are begun. Follows the
/// store's response times, so that a slow store does not get more calls for
/// being slow. Free of I/O.
class HedgeDelay {
public:
  /// A direct call was answered after \p Elapsed.
  void recordAnswer(Duration Elapsed);

  Duration current() const;

private:
  /// The longest recent response time; decays with each shorter one.
  Duration Recent{};
};

/// Chooses the paths of one hedged call to the store: when an attempt stays
/// unanswered, others follow before it has timed out. Free of I/O.
class HedgeSchedule {
public:
  HedgeSchedule(DirectPath Direct, std::size_t Relays);

  /// Returns the attempts to begin next; empty when there are none left.
  /// \p DirectUnanswered: a direct attempt has begun and not ended.
  std::vector<StorePath> next(bool DirectUnanswered);

  /// Whether next() may return attempts.
  bool hasMore() const;

private:
  DirectPath Direct;
  std::size_t RelaysLeft;
  std::size_t Round = 0;
};

} // namespace hemlockspar
