#include "mesh/ownership/RestoredKeys.h"

#include <algorithm>

namespace hemlockspar {

void RestoredKeys::observe(std::uint64_t Era, bool Confirmed,
                           const std::vector<KeyMapEntry> &Own, bool LeaseHeld,
                           TimePoint Now) {
  if (!this->knows(Era)) {
    this->SeenRestoration = this->KnownEra.has_value();
    this->KnownEra = Era;
    this->EraSeenAt = Now;
    this->Kept = std::move(this->Granted);
  }
  if (!LeaseHeld) {
    this->Kept.clear();
    this->Granted.clear();
    return;
  }
  this->Granted = Confirmed ? Own : this->grantedBefore(Own);
}

std::vector<KeyMapEntry>
RestoredKeys::grantedBefore(const std::vector<KeyMapEntry> &Own) const {
  std::vector<KeyMapEntry> Parts;
  for (const KeyMapEntry &Entry : Own) {
    for (const KeyMapEntry &Before : this->Kept) {
      bool Same = Before.Owner == Entry.Owner && Before.Token == Entry.Token &&
                  Before.Keys.overlaps(Entry.Keys);
      if (Same) {
        KeyMapEntry Part = Entry;
        Part.Keys.First = std::max(Entry.Keys.First, Before.Keys.First);
        Part.Keys.Last = std::min(Entry.Keys.Last, Before.Keys.Last);
        Parts.push_back(std::move(Part));
      }
    }
  }
  return Parts;
}

} // namespace hemlockspar
