#pragma once

#include "mesh/links/LinkBudget.h"

#include <map>
#include <optional>
#include <set>
#include <tuple>

namespace hemlockspar {

/// A response that waits for the link.
struct QueuedResponse {
  /// Unique, and higher than those of responses that were ready before.
  std::uint64_t Number = 0;
  std::uint64_t Bytes = 0;

  /// Lower ranks leave first.
  std::uint32_t Rank = 0;
  TimePoint ObjectiveAt;
  TimePoint Deadline;
  TimePoint ReadyAt;
};

/// Orders the large responses that leave a machine and paces them at the link's
/// rate. Handles the load pattern of large responses that become ready faster
/// than the link carries them: written at once they queue in the network, where
/// every small response waits behind all of them. Here one leaves after the
/// other, the most urgent first, so that a small response waits behind one at
/// most. The end of a transfer is computed from its size, so that a receiver
/// that reads slowly or not at all holds up nobody else. Performs no I/O.
class ResponseQueue {
public:
  /// \p BytesPerSecond is the rate of the link, of which large bodies get a
  /// share; 0 means that it is not limited.
  explicit ResponseQueue(double BytesPerSecond) : Link(BytesPerSecond) {}

  void add(const QueuedResponse &Response);

  /// Removes a response, whose receiver no longer waits for it. Returns false
  /// when it does not wait.
  bool cancel(std::uint64_t Number);

  /// Returns the number of the response that leaves now; empty when none waits
  /// or the one before it is still on its way.
  std::optional<std::uint64_t> startNext(TimePoint Now);

  /// When the next response may leave; empty when none waits.
  std::optional<TimePoint> nextStartAt(TimePoint Now) const;

  /// Time after which everything that is on its way or waits will have left.
  Duration backlog(TimePoint Now) const;

  /// The same without what waits and is less urgent than \p Rank.
  Duration backlogBefore(std::uint32_t Rank, TimePoint Now) const;

  /// Time that a response of \p Bytes takes to leave.
  Duration transferTime(std::uint64_t Bytes) const {
    return this->Link.transferTime(Bytes);
  }

  std::size_t size() const { return this->Waiting.size() + this->Late.size(); }

private:
  using Urgency = std::tuple<std::uint32_t, TimePoint, std::uint64_t>;

  static Urgency urgencyOf(const QueuedResponse &Response);
  void removeWaiting(const QueuedResponse &Response);
  std::optional<QueuedResponse> takeNext(TimePoint Now);

  LinkBudget Link;

  /// By number, which is the order in which they became ready.
  std::map<std::uint64_t, QueuedResponse> Waiting;
  std::set<Urgency> ByUrgency;
  std::map<std::uint32_t, std::uint64_t> BytesByRank;

  /// Those that cannot arrive by their deadline any more.
  std::map<std::uint64_t, QueuedResponse> Late;
  std::uint64_t LateBytes = 0;
};

} // namespace hemlockspar
