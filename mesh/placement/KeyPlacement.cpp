#include "mesh/placement/KeyPlacement.h"

#include "mesh/placement/HomePolicy.h"

#include <algorithm>

namespace hemlockspar {

KeyPlacement::KeyPlacement(const MeshView &View, std::string Service)
    : View(View), Service(std::move(Service)) {
  const ConfigurationPtr &Active = this->View.configuration();
  if (Active) {
    this->Regions = allowedKeyRegions(*Active, this->Service);
  }

  // Data must not be served outside its regions, so an evacuation yields to
  // that; an instance that is neither may still keep what it owns.
  if (this->Regions && !this->anyReady(true, false)) {
    this->Regions.reset();
  }
  this->CheckEvacuation =
      !this->View.evacuated().empty() && this->anyReady(true, true);
}

bool KeyPlacement::isInAllowedRegion(const InstanceRow &Row) const {
  return !this->Regions || this->Regions->contains(Row.Region);
}

bool KeyPlacement::isOutsideEvacuation(const InstanceRow &Row) const {
  return !this->View.isEvacuated(Row.DataCenter);
}

bool KeyPlacement::anyReady(bool CheckRegion, bool CheckEvacuation) const {
  const std::map<InstanceId, InstanceRow> &All = this->View.instances();
  return std::any_of(All.begin(), All.end(), [&](const auto &Entry) {
    const InstanceRow &Row = Entry.second;
    return Row.Service == this->Service && Row.State == ServerState::Ready &&
           (!CheckRegion || this->isInAllowedRegion(Row)) &&
           (!CheckEvacuation || this->isOutsideEvacuation(Row));
  });
}

bool KeyPlacement::mayOwn(const InstanceRow &Row) const {
  return this->isInAllowedRegion(Row) &&
         (!this->CheckEvacuation || this->isOutsideEvacuation(Row));
}

} // namespace hemlockspar
