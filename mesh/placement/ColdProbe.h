#pragma once

#include "core/Clock.h"

#include <cstddef>

namespace hemlockspar {

/// Decides when a backend server is asked whether it has turned cold. Its
/// reports tell once per heartbeat, in which a busy server gets several times
/// what a cold one tolerates. It is asked after each so many requests, so that
/// an idle server costs nothing. Performs no I/O.
class ColdProbe {
public:
  /// A request is sent to the server, which tolerates \p Tolerated requests per
  /// second while it is cold; 0 for any number. Returns whether to ask it now.
  bool onSent(double Tolerated, TimePoint Now);

  /// Whether the server may be asked now; it then counts as asked.
  bool tryBegin(TimePoint Now);

  /// The question has ended, with or without an answer.
  void onEnded() { this->Pending = false; }

private:
  std::size_t SentSince = 0;
  bool Pending = false;
  TimePoint AskedAt;
};

} // namespace hemlockspar
