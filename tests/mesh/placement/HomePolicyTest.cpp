#include "mesh/placement/HomePolicy.h"

#include <criterion/criterion.h>

using namespace hemlockspar;

namespace {

Route makeRoute(const std::string &Name, const std::string &Service,
                std::optional<std::vector<std::string>> Homes) {
  Route Result;
  Result.Name = Name;
  Result.Targets = {{Service, 1}};
  Result.HomeRegions = std::move(Homes);
  return Result;
}

} // namespace

/// A list of homes without an entry means that the homes could not be read: no
/// region may be used then.
Test(HomePolicy, RestrictsToListedRegions) {
  using Regions = std::vector<std::string>;
  cr_assert(isHomeRegion(makeRoute("a", "x", std::nullopt), "north"));
  cr_assert(isHomeRegion(makeRoute("a", "x", Regions{"north"}), "north"));
  cr_assert_not(isHomeRegion(makeRoute("a", "x", Regions{"north"}), "south"));
  cr_assert_not(isHomeRegion(makeRoute("a", "x", Regions()), "north"));
}

/// A route that the newest configuration no longer declares is judged by the
/// configuration under which the request arrived.
Test(HomePolicy, UndeclaredRoutesAreNotRestricted) {
  Configuration Active;
  Active.Routes = {makeRoute("a", "x", std::vector<std::string>{"north"})};
  cr_assert_not(isHomeRegion(Active, "a", "south"));
  cr_assert(isHomeRegion(Active, "gone", "south"));
}

/// Keys must be where the requests of all routes to them may be served.
Test(HomePolicy, KeyRegionsServeEveryRoute) {
  Configuration Active;
  using Regions = std::vector<std::string>;
  Active.Routes = {makeRoute("a", "x", Regions{"north", "south"}),
                   makeRoute("b", "x", Regions{"south", "west"}),
                   makeRoute("c", "x", std::nullopt),
                   makeRoute("d", "y", std::nullopt)};
  cr_assert(allowedKeyRegions(Active, "x") == std::set<std::string>{"south"});
  cr_assert(!allowedKeyRegions(Active, "y"));
}
