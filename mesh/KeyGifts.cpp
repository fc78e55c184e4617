#include "mesh/KeyGifts.h"

#include <algorithm>

namespace hemlockspar {

namespace {

/// Whether \p Parts make up all of \p Keys.
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

void KeyGifts::begin(KeyGift Begun) {
  this->Gifts.push_back(std::move(Begun));
  std::sort(this->Gifts.begin(), this->Gifts.end(),
            [](const KeyGift &First, const KeyGift &Second) {
              return First.Keys < Second.Keys;
            });
}

bool KeyGifts::concerns(const KeyRange &Keys) const {
  return std::any_of(
      this->Gifts.begin(), this->Gifts.end(),
      [&](const KeyGift &Given) { return Given.Keys.overlaps(Keys); });
}

bool KeyGifts::isDraining(KeyNumber Key, TimePoint Now) const {
  return std::any_of(
      this->Gifts.begin(), this->Gifts.end(), [&](const KeyGift &Given) {
        return Given.Keys.contains(Key) && Now >= Given.ServedUntil;
      });
}

std::set<InstanceId> KeyGifts::receivers() const {
  std::set<InstanceId> Names;
  for (const KeyGift &Given : this->Gifts) {
    Names.insert(Given.To.Instance);
  }
  return Names;
}

std::vector<OwnedKeys>
KeyGifts::without(const std::vector<OwnedKeys> &Owned) const {
  std::vector<OwnedKeys> Free;
  for (const OwnedKeys &Entry : Owned) {
    OwnedKeys Rest = Entry;
    for (const KeyGift &Given : this->Gifts) {
      if (Rest.Keys.First > Rest.Keys.Last || !Given.Keys.overlaps(Rest.Keys)) {
        continue;
      }
      if (Given.Keys.First > Rest.Keys.First) {
        Free.push_back(Rest);
        Free.back().Keys.Last = Given.Keys.First - 1;
      }
      Rest.Keys.First = Given.Keys.Last + 1;
    }
    if (Rest.Keys.First <= Rest.Keys.Last) {
      Free.push_back(Rest);
    }
  }
  return Free;
}

void KeyGifts::noteReleases(const std::vector<ReleasedKeys> &Released) {
  for (KeyGift &Given : this->Gifts) {
    for (const ReleasedKeys &Freed : Released) {
      if (Given.Keys.overlaps(Freed.Keys)) {
        KeyRange Part = {std::max(Given.Keys.First, Freed.Keys.First),
                         std::min(Given.Keys.Last, Freed.Keys.Last)};
        Given.Released.push_back({Part, Freed.HandoverState});
      }
    }
  }
}

bool KeyGifts::hasLetGo(const KeyGift &Given, TimePoint Now) {
  // That a report does not list keys says nothing: it may have been sent
  // before the keys were granted.
  return Now >= Given.HoldEnd || covers(Given.Released, Given.Keys);
}

bool KeyGifts::handOver(KeyMap &Map, TimePoint Now) {
  bool Changed = false;
  for (KeyGift &Given : this->Gifts) {
    if (!hasLetGo(Given, Now)) {
      continue;
    }
    Given.LetGo = true;
    Map.assign(Given.Keys, Given.To, "");
    for (const ReleasedKeys &Part : Given.Released) {
      Map.assign(Part.Keys, Given.To, Part.HandoverState);
    }
    Changed = true;
  }
  return Changed;
}

void KeyGifts::dropHandedOver() {
  this->dropIf([](const KeyGift &Given) { return Given.LetGo; });
}

} // namespace hemlockspar
