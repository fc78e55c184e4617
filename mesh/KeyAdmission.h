#pragma once

#include "mesh/ServerReport.h"

namespace hemlockspar {

/// What the way to the backend server has to know of the keys it holds.
class KeyAdmission {
public:
  virtual ~KeyAdmission() = default;

  /// Whether a request for \p Key may be sent to the backend server now.
  virtual bool canServe(KeyNumber Key, TimePoint Now) const = 0;

  /// Whether \p Key belongs here: it will soon be served, or have another
  /// owner.
  virtual bool isOwnedHere(KeyNumber Key) const = 0;

  /// When \p Key, which is expected, may be served, here or by its next owner:
  /// about as long from \p Now.
  virtual Duration estimatedWait(KeyNumber Key, TimePoint Now) const = 0;

  /// A request for \p Key came, let in or not, that takes a slot for \p Busy.
  virtual void recordLoad(KeyNumber Key, Duration Busy, TimePoint Now) = 0;
};

} // namespace hemlockspar
