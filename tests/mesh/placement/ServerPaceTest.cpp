#include "mesh/placement/ServerPace.h"

#include <criterion/criterion.h>
#include <limits>

using namespace hemlockspar;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A stated pace must not decide choices after the moment that it describes.
Test(ServerPace, ExpiresAndIgnoresOddValues) {
  TimePoint Now{seconds(500)};
  ServerPace Pace;
  cr_assert_eq(Pace.factor(Now), 1);
  Pace.record(3, Now);
  cr_assert_eq(Pace.factor(Now + milliseconds(299)), 3);
  cr_assert_eq(Pace.factor(Now + milliseconds(301)), 1);

  Pace.record(2, Now);
  for (double Odd : {0.0, -1.0, 1e9, std::numeric_limits<double>::infinity(),
                     std::numeric_limits<double>::quiet_NaN()}) {
    Pace.record(Odd, Now);
  }
  cr_assert_eq(Pace.factor(Now), 2);
}
