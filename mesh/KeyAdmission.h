#pragma once

#include "mesh/ServerReport.h"

namespace hemlockspar {

/// Tells the request path which keys the local backend server may serve.
class KeyAdmission {
public:
  virtual ~KeyAdmission() = default;

  /// Whether a request for \p Key may be sent to the backend server now.
  virtual bool canServe(KeyNumber Key, TimePoint Now) const = 0;

  /// Whether this instance owns \p Key: the backend server will soon serve it,
  /// or it is being handed to another owner.
  virtual bool isOwnedHere(KeyNumber Key) const = 0;

  /// Whether \p Key, which this instance owns, cannot be served anywhere for
  /// seconds: another instance may hold it after the store was restored.
  virtual bool isSuspended(KeyNumber Key) const = 0;

  /// Estimated time from \p Now until \p Key, which this instance owns, can be
  /// served here or by its next owner.
  virtual Duration estimatedWait(KeyNumber Key, TimePoint Now) const = 0;

  /// The backend server rejected a request for \p Key, which it does not hold.
  virtual void onKeyRefused(KeyNumber Key, TimePoint Now) = 0;

  /// Records a request for \p Key, admitted or not, that occupies a slot for
  /// \p Busy.
  virtual void recordLoad(KeyNumber Key, Duration Busy, TimePoint Now) = 0;
};

} // namespace hemlockspar
