#include "mesh/placement/HomePolicy.h"

#include <algorithm>

namespace hemlockspar {

bool isHomeRegion(const Route &Selected, const std::string &Region) {
  if (!Selected.HomeRegions) {
    return true;
  }
  const std::vector<std::string> &Homes = *Selected.HomeRegions;
  return std::find(Homes.begin(), Homes.end(), Region) != Homes.end();
}

bool isHomeRegion(const Configuration &Active, const std::string &RouteName,
                  const std::string &Region) {
  const Route *Declared = Active.findRouteByName(RouteName);
  return !Declared || isHomeRegion(*Declared, Region);
}

std::optional<std::set<std::string>>
allowedKeyRegions(const Configuration &Active, const std::string &Service) {
  std::optional<std::set<std::string>> Allowed;

  for (const Route &Entry : Active.Routes) {
    bool Leads = std::any_of(
        Entry.Targets.begin(), Entry.Targets.end(),
        [&](const RouteTarget &Target) { return Target.Service == Service; });
    if (!Leads || !Entry.HomeRegions) {
      continue;
    }
    if (!Allowed) {
      Allowed.emplace(Entry.HomeRegions->begin(), Entry.HomeRegions->end());
      continue;
    }
    std::erase_if(*Allowed, [&](const std::string &Region) {
      return !isHomeRegion(Entry, Region);
    });
  }
  return Allowed;
}

} // namespace hemlockspar
