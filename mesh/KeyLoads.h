#pragma once

#include "mesh/ServerReport.h"

#include <map>

namespace hemlockspar {

/// How busy each key keeps the backend server, in slots, over the last
/// seconds. Keys are kept one by one, since a few neighbouring keys may carry
/// a third of all requests and a cut must fall between them. Free of I/O.
class KeyLoads {
public:
  /// A request for \p Key held a slot for \p Busy.
  void record(KeyNumber Key, Duration Busy, TimePoint Now);

  /// Slots that keys of \p Span keep busy.
  double within(const KeyRange &Span, TimePoint Now) const;

  /// Slots that all keys keep busy.
  double total(TimePoint Now) const;

  /// The greatest part at the end of \p Span (at its start when
  /// \p FromStart) whose load is at most \p Load; nothing when that is empty
  /// or the whole of \p Span.
  std::optional<KeyRange> cutOff(const KeyRange &Span, double Load,
                                 bool FromStart, TimePoint Now) const;

  /// Forgets keys outside of what is owned and those that have become idle.
  void prune(TimePoint Now);

private:
  struct Measure {
    double BusySeconds = 0;
    TimePoint At;
  };

  static double valueOf(const Measure &Seen, TimePoint Now);

  std::map<KeyNumber, Measure> Keys;
};

} // namespace hemlockspar
