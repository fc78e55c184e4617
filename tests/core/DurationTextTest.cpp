#include "core/DurationText.h"

#include <criterion/criterion.h>

using namespace hemlockspar;
using std::chrono::milliseconds;

Test(DurationText, ParsesBothUnits) {
  cr_assert(parseDuration("1500ms") == Duration(milliseconds(1500)));
  cr_assert(parseDuration("2.5s") == Duration(milliseconds(2500)));
  cr_assert(parseDuration("0ms") == Duration::zero());
}

Test(DurationText, RejectsOtherFormats) {
  for (const char *Text : {"", "ms", "5", "5m", "5 s", "-1s", "1e400s", "nans",
                           "infs", "1.2.3s", "400000000s"}) {
    cr_assert(!parseDuration(Text), "%s was accepted", Text);
  }
}

Test(DurationText, FormatsWholeMilliseconds) {
  cr_assert(formatDuration(std::chrono::microseconds(1999)) == "1ms");
}
