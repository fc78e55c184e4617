#include "mesh/KeyMap.h"

#include "core/Json.h"

#include <algorithm>
#include <map>

namespace hemlockspar {

namespace {

constexpr unsigned OwnerFields = 3;

/// Entries without handover state have one field less.
constexpr unsigned MinEntryFields = 4;
constexpr unsigned MaxEntryFields = 5;

Json::Value ownerToJson(const KeyMapOwner &Owner) {
  Json::Value Row(Json::arrayValue);
  Row.append(Owner.Instance);
  Row.append(Owner.Incarnation.Id);
  Row.append(Json::Int64(Owner.Incarnation.StartedAt));
  return Row;
}

std::optional<KeyMapOwner> ownerFromJson(const Json::Value &Row) {
  bool Valid = Row.isArray() && Row.size() == OwnerFields &&
               Row[0].isString() && Row[1].isString() && Row[2].isInt64();
  if (!Valid) {
    return std::nullopt;
  }
  return KeyMapOwner{Row[0].asString(), {Row[1].asString(), Row[2].asInt64()}};
}

Json::Value entryToJson(const KeyMapEntry &Entry, unsigned Owner) {
  Json::Value Row(Json::arrayValue);
  Row.append(Entry.Keys.First);
  Row.append(Entry.Keys.Last);
  Row.append(Owner);
  Row.append(Json::UInt64(Entry.Token));
  if (!Entry.HandoverState.empty()) {
    Row.append(Entry.HandoverState);
  }
  return Row;
}

std::optional<KeyMapEntry>
entryFromJson(const Json::Value &Row, const std::vector<KeyMapOwner> &Owners) {
  bool Valid = Row.isArray() && Row.size() >= MinEntryFields &&
               Row.size() <= MaxEntryFields && Row[0].isUInt() &&
               Row[1].isUInt() && Row[2].isUInt() && Row[3].isUInt64() &&
               Row[2].asUInt() < Owners.size() &&
               (Row.size() == MinEntryFields || Row[4].isString());
  if (!Valid) {
    return std::nullopt;
  }

  KeyMapEntry Entry;
  Entry.Keys = {Row[0].asUInt(), Row[1].asUInt()};
  Entry.Owner = Owners[Row[2].asUInt()];
  Entry.Token = Row[3].asUInt64();
  Entry.HandoverState = Row.size() == MaxEntryFields ? Row[4].asString() : "";
  return Entry;
}

/// Tokens of an era begin above all that can have been used before it.
constexpr unsigned TokenBitsPerEra = 32;

std::optional<std::vector<KeyMapOwner>>
ownersFromJson(const Json::Value &Rows) {
  std::vector<KeyMapOwner> Owners;
  for (const Json::Value &Row : Rows) {
    auto Owner = ownerFromJson(Row);
    if (!Owner) {
      return std::nullopt;
    }
    Owners.push_back(std::move(*Owner));
  }
  return Owners;
}

bool canMerge(const KeyMapEntry &First, const KeyMapEntry &Next) {
  return First.Owner == Next.Owner && First.Token == Next.Token &&
         First.HandoverState == Next.HandoverState;
}

} // namespace

KeyMap::KeyMap() : Entries({{{0, MaxKey}, {}, 0, ""}}) {}

const KeyMapEntry &KeyMap::find(KeyNumber Key) const {
  auto After = std::upper_bound(this->Entries.begin(), this->Entries.end(), Key,
                                [](KeyNumber Wanted, const KeyMapEntry &Entry) {
                                  return Wanted < Entry.Keys.First;
                                });
  return *std::prev(After);
}

std::vector<KeyMapEntry> KeyMap::entriesOf(const InstanceId &Instance) const {
  std::vector<KeyMapEntry> Owned;
  for (const KeyMapEntry &Entry : this->Entries) {
    if (Entry.Owner.Instance == Instance) {
      Owned.push_back(Entry);
    }
  }
  return Owned;
}

std::uint32_t KeyMap::keyCount(const InstanceId &Instance) const {
  std::uint32_t Count = 0;
  for (const KeyMapEntry &Entry : this->Entries) {
    if (Entry.Owner.Instance == Instance) {
      Count += Entry.Keys.size();
    }
  }
  return Count;
}

void KeyMap::splitAt(KeyNumber First) {
  for (std::size_t Index = 0; Index < this->Entries.size(); ++Index) {
    KeyMapEntry &Entry = this->Entries[Index];
    bool Inside = Entry.Keys.First < First && First <= Entry.Keys.Last;
    if (!Inside) {
      continue;
    }

    KeyMapEntry Tail = Entry;
    Tail.Keys.First = First;
    Entry.Keys.Last = First - 1;
    this->Entries.insert(std::next(this->Entries.begin(),
                                   static_cast<std::ptrdiff_t>(Index) + 1),
                         Tail);
    return;
  }
}

void KeyMap::assign(const KeyRange &Keys, const KeyMapOwner &Owner,
                    const std::string &HandoverState) {
  this->splitAt(Keys.First);
  if (Keys.Last < MaxKey) {
    this->splitAt(Keys.Last + 1);
  }

  ++this->LastToken;
  for (KeyMapEntry &Entry : this->Entries) {
    if (Keys.overlaps(Entry.Keys)) {
      Entry.Owner = Owner;
      Entry.Token = this->LastToken;
      Entry.HandoverState = HandoverState;
    }
  }
  this->mergeAdjacent();
}

void KeyMap::confirmIn(std::uint64_t StoreEra) {
  this->Era = StoreEra;
  this->LastToken = std::max(this->LastToken, StoreEra << TokenBitsPerEra) + 1;
  for (KeyMapEntry &Entry : this->Entries) {
    Entry.Token = this->LastToken;
  }
  this->mergeAdjacent();
}

void KeyMap::mergeAdjacent() {
  std::vector<KeyMapEntry> Merged;
  for (KeyMapEntry &Entry : this->Entries) {
    if (!Merged.empty() && canMerge(Merged.back(), Entry)) {
      Merged.back().Keys.Last = Entry.Keys.Last;
    } else {
      Merged.push_back(std::move(Entry));
    }
  }
  this->Entries = std::move(Merged);
}

std::string KeyMap::toText() const {
  Json::Value Text;
  Text["token"] = Json::UInt64(this->LastToken);
  if (this->Era) {
    Text["era"] = Json::UInt64(*this->Era);
  }
  Text["holders"] = Json::Value(Json::arrayValue);
  Text["keys"] = Json::Value(Json::arrayValue);

  // Each owner is listed once, under "holders", to keep the row small: it goes
  // to many daemons at every change.
  std::map<KeyMapOwner, unsigned> OwnerIndexes;
  for (const KeyMapEntry &Entry : this->Entries) {
    auto [Place, Inserted] =
        OwnerIndexes.emplace(Entry.Owner, OwnerIndexes.size());
    if (Inserted) {
      Text["holders"].append(ownerToJson(Entry.Owner));
    }
    Text["keys"].append(entryToJson(Entry, Place->second));
  }
  return writeJson(Text);
}

std::optional<KeyMap> KeyMap::fromText(const std::string &Text) {
  auto Value = readJson(Text);
  bool Valid = Value && Value->isObject() && (*Value)["keys"].isArray() &&
               (*Value)["holders"].isArray() && (*Value)["token"].isUInt64();
  auto Owners = Valid ? ownersFromJson((*Value)["holders"]) : std::nullopt;
  if (!Owners) {
    return std::nullopt;
  }

  KeyMap Map;
  Map.Entries.clear();
  Map.LastToken = (*Value)["token"].asUInt64();
  if ((*Value)["era"].isUInt64()) {
    Map.Era = (*Value)["era"].asUInt64();
  }

  KeyNumber Next = 0;
  for (const Json::Value &Row : (*Value)["keys"]) {
    auto Entry = entryFromJson(Row, *Owners);
    bool EntryValid = Entry && Entry->Keys.First == Next &&
                      Entry->Keys.Last >= Entry->Keys.First &&
                      Entry->Keys.Last <= MaxKey &&
                      Entry->Token <= Map.LastToken;
    if (!EntryValid) {
      return std::nullopt;
    }
    Next = Entry->Keys.Last + 1;
    Map.Entries.push_back(std::move(*Entry));
  }
  return Next == MaxKey + 1 ? std::optional(std::move(Map)) : std::nullopt;
}

} // namespace hemlockspar
