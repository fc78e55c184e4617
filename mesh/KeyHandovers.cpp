#include "mesh/KeyHandovers.h"

#include <algorithm>

namespace hemlockspar {

namespace {

/// Whether \p Parts together cover all of \p Keys.
bool covers(const std::vector<ReleasedKeys> &Parts, const KeySpan &Keys) {
  KeyNumber Next = Keys.From;
  bool Advanced = true;
  while (Advanced && Next <= Keys.To) {
    Advanced = false;
    for (const ReleasedKeys &Part : Parts) {
      if (Part.Keys.contains(Next)) {
        Next = Part.Keys.To + 1;
        Advanced = true;
      }
    }
  }
  return Next > Keys.To;
}

} // namespace

void KeyHandovers::start(KeyHandover Started) {
  this->Handovers.push_back(std::move(Started));
  std::sort(this->Handovers.begin(), this->Handovers.end(),
            [](const KeyHandover &First, const KeyHandover &Second) {
              return First.Keys < Second.Keys;
            });
}

bool KeyHandovers::overlaps(const KeySpan &Keys) const {
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

std::vector<KeyMapEntry>
KeyHandovers::subtractFrom(const std::vector<KeyMapEntry> &Owned) const {
  std::vector<KeyMapEntry> Remaining;
  for (const KeyMapEntry &Entry : Owned) {
    KeyMapEntry Rest = Entry;
    for (const KeyHandover &Handover : this->Handovers) {
      if (Rest.Keys.From > Rest.Keys.To || !Handover.Keys.overlaps(Rest.Keys)) {
        continue;
      }
      if (Handover.Keys.From > Rest.Keys.From) {
        Remaining.push_back(Rest);
        Remaining.back().Keys.To = Handover.Keys.From - 1;
      }
      Rest.Keys.From = Handover.Keys.To + 1;
    }
    if (Rest.Keys.From <= Rest.Keys.To) {
      Remaining.push_back(Rest);
    }
  }
  return Remaining;
}

void KeyHandovers::recordReleases(const std::vector<ReleasedKeys> &Released) {
  for (KeyHandover &Handover : this->Handovers) {
    for (const ReleasedKeys &Freed : Released) {
      if (Handover.Keys.overlaps(Freed.Keys)) {
        KeySpan Part = {std::max(Handover.Keys.From, Freed.Keys.From),
                        std::min(Handover.Keys.To, Freed.Keys.To)};
        Handover.Released.push_back({Part, Freed.Handover});
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
      Map.assign(Part.Keys, Handover.Receiver, Part.Handover);
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
