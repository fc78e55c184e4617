#include "mesh/admission/ServiceRanks.h"

#include <algorithm>

namespace hemlockspar {

ServiceRanks ranksOf(const Configuration &Active, const std::string &Service) {
  std::optional<ServiceRanks> Ranks;
  for (const Route &Declared : Active.Routes) {
    bool Leads = std::any_of(
        Declared.Targets.begin(), Declared.Targets.end(),
        [&](const RouteTarget &Target) { return Target.Service == Service; });
    if (!Leads) {
      continue;
    }
    if (!Ranks) {
      Ranks = {Declared.Priority, Declared.Priority};
    }
    Ranks->MostUrgent = std::min(Ranks->MostUrgent, Declared.Priority);
    Ranks->LeastUrgent = std::max(Ranks->LeastUrgent, Declared.Priority);
  }
  return Ranks.value_or(ServiceRanks());
}

} // namespace hemlockspar
