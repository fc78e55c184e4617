#include "mesh/links/RouteResponses.h"

#include <criterion/criterion.h>

using namespace hemlockspar;
using std::chrono::milliseconds;

namespace {

constexpr char Route[] = "r-files";

void record(RouteResponses &Responses, int Count, std::uint64_t Bytes) {
  for (int Index = 0; Index < Count; ++Index) {
    Responses.record(Route, Bytes, milliseconds(200));
  }
}

} // namespace

/// One long response must not make a route's requests subject to the link.
Test(RouteResponses, FewResponsesSayNothing) {
  RouteResponses Responses;
  record(Responses, 4, 540000);
  cr_assert(!Responses.estimate(Route).Large);
  cr_assert_eq(Responses.estimate(Route).Bytes, 0);

  record(Responses, 1, 540000);
  cr_assert(Responses.estimate(Route).Large);
  cr_assert(!Responses.estimate("r-other").Large);
}

/// Small responses with a rare large one stay a route of small responses.
Test(RouteResponses, RareLargeResponse) {
  RouteResponses Responses;
  record(Responses, 50, 2000);
  record(Responses, 1, 90000);
  cr_assert(!Responses.estimate(Route).Large);
}

/// A mean near the bound must not change the treatment with every response.
Test(RouteResponses, SizesAroundTheBoundDoNotAlternate) {
  RouteResponses Responses;
  record(Responses, 100, 17000);
  cr_assert(Responses.estimate(Route).Large);
  for (int Index = 0; Index < 100; ++Index) {
    record(Responses, 1, Index % 2 == 0 ? 14000 : 18000);
    cr_assert(Responses.estimate(Route).Large);
  }
  record(Responses, 200, 4000);
  cr_assert(!Responses.estimate(Route).Large);
}

/// Names of routes come from other daemons: their number must not take up the
/// memory.
Test(RouteResponses, RoutesAreBounded) {
  RouteResponses Responses;
  record(Responses, 5, 90000);
  for (int Index = 0; Index < 5000; ++Index) {
    for (int Time = 0; Time < 5; ++Time) {
      Responses.record("r-" + std::to_string(Index), 90000, milliseconds(1));
    }
  }
  cr_assert(Responses.estimate(Route).Large);
  cr_assert(!Responses.estimate("r-4999").Large);
}
