#include "mesh/KeyHandovers.h"

#include <algorithm>

namespace hemlockspar {

namespace {

/// Whether \p Parts make up all of \p Keys.
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

void KeyHandovers::start(KeyHandover Begun) {
  this->Handovers.push_back(std::move(Begun));
  std::sort(this->Handovers.begin(), this->Handovers.end(),
            [](const KeyHandover &First, const KeyHandover &Second) {
              return First.Keys < Second.Keys;
            });
}

bool KeyHandovers::overlaps(const KeySpan &Keys) const {
  return std::any_of(
      this->Handovers.begin(), this->Handovers.end(),
      [&](const KeyHandover &Given) { return Given.Keys.overlaps(Keys); });
}

bool KeyHandovers::isDraining(KeyNumber Key, TimePoint Now) const {
  return std::any_of(this->Handovers.begin(), this->Handovers.end(),
                     [&](const KeyHandover &Given) {
                       return Given.Keys.contains(Key) &&
                              Now >= Given.ServedUntil;
                     });
}

std::set<InstanceId> KeyHandovers::receivers() const {
  std::set<InstanceId> Names;
  for (const KeyHandover &Given : this->Handovers) {
    Names.insert(Given.Receiver.Instance);
  }
  return Names;
}

std::vector<KeyMapEntry>
KeyHandovers::subtractFrom(const std::vector<KeyMapEntry> &Owned) const {
  std::vector<KeyMapEntry> Free;
  for (const KeyMapEntry &Entry : Owned) {
    KeyMapEntry Rest = Entry;
    for (const KeyHandover &Given : this->Handovers) {
      if (Rest.Keys.From > Rest.Keys.To || !Given.Keys.overlaps(Rest.Keys)) {
        continue;
      }
      if (Given.Keys.From > Rest.Keys.From) {
        Free.push_back(Rest);
        Free.back().Keys.To = Given.Keys.From - 1;
      }
      Rest.Keys.From = Given.Keys.To + 1;
    }
    if (Rest.Keys.From <= Rest.Keys.To) {
      Free.push_back(Rest);
    }
  }
  return Free;
}

void KeyHandovers::recordReleases(const std::vector<ReleasedKeys> &Released) {
  for (KeyHandover &Given : this->Handovers) {
    for (const ReleasedKeys &Freed : Released) {
      if (Given.Keys.overlaps(Freed.Keys)) {
        KeySpan Part = {std::max(Given.Keys.From, Freed.Keys.From),
                        std::min(Given.Keys.To, Freed.Keys.To)};
        Given.Released.push_back({Part, Freed.Handover});
      }
    }
  }
}

bool KeyHandovers::isReleased(const KeyHandover &Given, TimePoint Now) {
  // That a report does not list keys says nothing: it may have been sent
  // before the keys were granted.
  return Now >= Given.HoldExpiresAt || covers(Given.Released, Given.Keys);
}

bool KeyHandovers::assignReleased(KeyMap &Map, TimePoint Now) {
  bool Changed = false;
  for (KeyHandover &Given : this->Handovers) {
    if (!isReleased(Given, Now)) {
      continue;
    }
    Given.WritePending = true;
    Map.assign(Given.Keys, Given.Receiver, "");
    for (const ReleasedKeys &Part : Given.Released) {
      Map.assign(Part.Keys, Given.Receiver, Part.Handover);
    }
    Changed = true;
  }
  return Changed;
}

void KeyHandovers::removeWritten() {
  this->removeIf([](const KeyHandover &Given) { return Given.WritePending; });
}

} // namespace hemlockspar
