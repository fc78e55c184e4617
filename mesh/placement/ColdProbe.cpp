#include "mesh/placement/ColdProbe.h"

namespace hemlockspar {

namespace {

/// Minimum time between two questions; a server that does not answer them is
/// not asked more often either.
constexpr auto MinInterval = std::chrono::milliseconds(100);

} // namespace

bool ColdProbe::onSent(double Tolerated, TimePoint Now) {
  if (Tolerated <= 0) {
    return false;
  }
  ++this->SentSince;
  return static_cast<double>(this->SentSince) >= Tolerated &&
         this->tryBegin(Now);
}

bool ColdProbe::tryBegin(TimePoint Now) {
  if (this->Pending || Now - this->AskedAt < MinInterval) {
    return false;
  }
  this->SentSince = 0;
  this->Pending = true;
  this->AskedAt = Now;
  return true;
}

} // namespace hemlockspar
