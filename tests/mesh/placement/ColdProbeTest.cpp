#include "mesh/placement/ColdProbe.h"

#include <criterion/criterion.h>

using namespace hemlockspar;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double Tolerated = 7.8;

} // namespace

/// A busy server must be asked before it could have got more than a cold one
/// tolerates, and an idle one not at all.
Test(ColdProbe, BusyServersAreAskedOncePerToleratedRequests) {
  ColdProbe Probe;
  TimePoint Now{seconds(10)};
  int Asked = 0;
  for (int Sent = 0; Sent < 80; ++Sent, Now += milliseconds(20)) {
    if (Probe.onSent(Tolerated, Now)) {
      ++Asked;
      Probe.onEnded();
    }
  }
  cr_assert_eq(Asked, 10);
  for (int Sent = 0; Sent < 80; ++Sent) {
    cr_assert_not(Probe.onSent(0, Now));
  }
}

/// A server that does not answer must not be asked again meanwhile.
Test(ColdProbe, OneQuestionAtATime) {
  ColdProbe Probe;
  TimePoint Now{seconds(10)};
  int Asked = 0;
  for (int Sent = 0; Sent < 80; ++Sent, Now += milliseconds(20)) {
    Asked += Probe.onSent(Tolerated, Now) ? 1 : 0;
  }
  cr_assert_eq(Asked, 1);
}
