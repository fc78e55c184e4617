#include "core/Json.h"

#include <criterion/criterion.h>

using namespace hemlockspar;

Test(Json, RejectsNonStrictInput) {
  for (const char *Text :
       {"", "{", "{\"a\":1,}", "{\"a\":1}x", "// c\n{}", "{\"a\":1,\"a\":2}"}) {
    std::string Error;
    cr_assert_not(readJson(Text, &Error).has_value(), "%s", Text);
    cr_assert_not(Error.empty());
  }
  cr_assert_not(readJson(std::string(100000, '[')).has_value());
}

Test(Json, MembersOfAnotherTypeCountAsAbsent) {
  Json::Value Value = *readJson("{\"n\":-1,\"s\":5}");
  cr_assert_eq(getUnsigned(Value, "n", 7), 7);
  cr_assert(getString(Value, "s").empty());
  cr_assert_eq(getUnsigned(Json::Value("text"), "n", 7), 7);
}
