#include "mesh/KeyGifts.h"

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

void KeyGifts::begin(KeyGift Begun) {
  this->Gifts.push_back(std::move(Begun));
  std::sort(this->Gifts.begin(), this->Gifts.end(),
            [](const KeyGift &First, const KeyGift &Second) {
              return First.Keys < Second.Keys;
            });
}

bool KeyGifts::concerns(const KeySpan &Keys) const {
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

void KeyGifts::noteReleases(const std::vector<ReleasedKeys> &Released) {
  for (KeyGift &Given : this->Gifts) {
    for (const ReleasedKeys &Freed : Released) {
      if (Given.Keys.overlaps(Freed.Keys)) {
        KeySpan Part = {std::max(Given.Keys.From, Freed.Keys.From),
                        std::min(Given.Keys.To, Freed.Keys.To)};
        Given.Released.push_back({Part, Freed.Handover});
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
      Map.assign(Part.Keys, Given.To, Part.Handover);
    }
    Changed = true;
  }
  return Changed;
}

void KeyGifts::dropHandedOver() {
  this->dropIf([](const KeyGift &Given) { return Given.LetGo; });
}

} // namespace hemlockspar
