#include "mesh/KeyHandovers.h"

#include <algorithm>

namespace hemlockspar {

namespace {

/// Whether \p Parts together cover all of \p Keys.
bool covers(const std::vector<ReleasedKeys> &Parts, const KeyRange &Keys) {
  KeyNumber Next = Keys.First;
  bool Advanced = true;
  while (Advanced && Next <= Keys.Last) {
    Advanced = false;
    for (const ReleasedKeys &Part : Parts) {
      if (Part.Keys.contains(Next)) {
        Next = Part.Keys.Last + 1;
        Advanced = true;
      }
    }
  }
  return Next > Keys.Last;
}

} // namespace

void KeyHandovers::start(KeyHandover Started) {
  this->Handovers.push_back(std::move(Started));
  std::sort(this->Handovers.begin(), this->Handovers.end(),
            [](const KeyHandover &First, const KeyHandover &Second) {
              return First.Keys < Second.Keys;
            });
}

bool KeyHandovers::overlaps(const KeyRange &Keys) const {
  return std::any_of(this->Handovers.begin(), this->Handovers.end(),
                     [&](const KeyHandover &Handover) {
                       return Handover.Keys.overlaps(Keys);
                     });
}

bool KeyHandovers::isDraining(KeyNumber Key, TimePoint Now) const {
  return std::any_of(this->Handovers.begin(), this->Handovers.end(),
                     [&](const KeyHandover &Handover) {
                       return Handover.Keys.contains(Key) &&
                              Now >= Handover.ServedUntil;
                     });
}

std::set<InstanceId> KeyHandovers::receivers() const {
  std::set<InstanceId> Instances;
  for (const KeyHandover &Handover : this->Handovers) {
    Instances.insert(Handover.Receiver.Instance);
  }
  return Instances;
}

std::vector<KeyRange> KeyHandovers::ranges() const {
  std::vector<KeyRange> Ranges;
  for (const KeyHandover &Handover : this->Handovers) {
    Ranges.push_back(Handover.Keys);
  }
  return Ranges;
}

std::vector<KeyMapEntry>
KeyHandovers::subtractFrom(const std::vector<KeyMapEntry> &Owned) const {
  std::vector<KeyMapEntry> Remaining;
  for (const KeyMapEntry &Entry : Owned) {
    KeyMapEntry Rest = Entry;
    for (const KeyHandover &Handover : this->Handovers) {
      if (Rest.Keys.First > Rest.Keys.Last ||
          !Handover.Keys.overlaps(Rest.Keys)) {
        continue;
      }
      if (Handover.Keys.First > Rest.Keys.First) {
        Remaining.push_back(Rest);
        Remaining.back().Keys.Last = Handover.Keys.First - 1;
      }
      Rest.Keys.First = Handover.Keys.Last + 1;
    }
    if (Rest.Keys.First <= Rest.Keys.Last) {
      Remaining.push_back(Rest);
    }
  }
  return Remaining;
}

void KeyHandovers::recordReleases(const std::vector<ReleasedKeys> &Released) {
  for (KeyHandover &Handover : this->Handovers) {
    for (const ReleasedKeys &Freed : Released) {
      if (Handover.Keys.overlaps(Freed.Keys)) {
        KeyRange Part = {std::max(Handover.Keys.First, Freed.Keys.First),
                         std::min(Handover.Keys.Last, Freed.Keys.Last)};
        Handover.Released.push_back({Part, Freed.HandoverState});
      }
    }
  }
}

bool KeyHandovers::isReleased(const KeyHandover &Handover, TimePoint Now) {
  // Keys that are missing from a report do not count as released: the report
  // may have been sent before the keys were granted.
  return Now >= Handover.HoldExpiresAt ||
         covers(Handover.Released, Handover.Keys);
}

bool KeyHandovers::assignReleased(KeyMap &Map, TimePoint Now) {
  bool Changed = false;
  for (KeyHandover &Handover : this->Handovers) {
    if (!isReleased(Handover, Now)) {
      continue;
    }
    Handover.WritePending = true;
    Map.assign(Handover.Keys, Handover.Receiver, "");
    for (const ReleasedKeys &Part : Handover.Released) {
      Map.assign(Part.Keys, Handover.Receiver, Part.HandoverState);
    }
    Changed = true;
  }
  return Changed;
}

void KeyHandovers::removeWritten() {
  this->removeIf(
      [](const KeyHandover &Handover) { return Handover.WritePending; });
}

} // namespace hemlockspar
