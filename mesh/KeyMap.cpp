#include "mesh/KeyMap.h"

#include "core/Json.h"

#include <algorithm>
#include <map>

namespace hemlockspar {

namespace {

constexpr unsigned HolderFields = 3;

/// Entries without a state that was left have one field less.
constexpr unsigned LeastEntryFields = 4;
constexpr unsigned MostEntryFields = 5;

Json::Value holderToJson(const KeyHolder &Holder) {
  Json::Value Row(Json::arrayValue);
  Row.append(Holder.Instance);
  Row.append(Holder.Run.Id);
  Row.append(Json::Int64(Holder.Run.StartedAt));
  return Row;
}

std::optional<KeyHolder> holderFromJson(const Json::Value &Row) {
  bool Sound = Row.isArray() && Row.size() == HolderFields &&
               Row[0].isString() && Row[1].isString() && Row[2].isInt64();
  if (!Sound) {
    return std::nullopt;
  }
  return KeyHolder{Row[0].asString(), {Row[1].asString(), Row[2].asInt64()}};
}

Json::Value entryToJson(const OwnedKeys &Entry, unsigned Holder) {
  Json::Value Row(Json::arrayValue);
  Row.append(Entry.Keys.First);
  Row.append(Entry.Keys.Last);
  Row.append(Holder);
  Row.append(Json::UInt64(Entry.Token));
  if (!Entry.Handover.empty()) {
    Row.append(Entry.Handover);
  }
  return Row;
}

std::optional<OwnedKeys> entryFromJson(const Json::Value &Row,
                                       const std::vector<KeyHolder> &Holders) {
  bool Sound = Row.isArray() && Row.size() >= LeastEntryFields &&
               Row.size() <= MostEntryFields && Row[0].isUInt() &&
               Row[1].isUInt() && Row[2].isUInt() && Row[3].isUInt64() &&
               Row[2].asUInt() < Holders.size() &&
               (Row.size() == LeastEntryFields || Row[4].isString());
  if (!Sound) {
    return std::nullopt;
  }

  OwnedKeys Entry;
  Entry.Keys = {Row[0].asUInt(), Row[1].asUInt()};
  Entry.Holder = Holders[Row[2].asUInt()];
  Entry.Token = Row[3].asUInt64();
  Entry.Handover = Row.size() == MostEntryFields ? Row[4].asString() : "";
  return Entry;
}

std::optional<std::vector<KeyHolder>> holdersFromJson(const Json::Value &Rows) {
  std::vector<KeyHolder> Holders;
  for (const Json::Value &Row : Rows) {
    auto Holder = holderFromJson(Row);
    if (!Holder) {
      return std::nullopt;
    }
    Holders.push_back(std::move(*Holder));
  }
  return Holders;
}

bool joinsOn(const OwnedKeys &First, const OwnedKeys &Next) {
  return First.Holder == Next.Holder && First.Token == Next.Token &&
         First.Handover == Next.Handover;
}

} // namespace

KeyMap::KeyMap() : Entries({{{0, MaxKey}, {}, 0, ""}}) {}

const OwnedKeys &KeyMap::find(KeyNumber Key) const {
  auto After = std::upper_bound(this->Entries.begin(), this->Entries.end(), Key,
                                [](KeyNumber Wanted, const OwnedKeys &Entry) {
                                  return Wanted < Entry.Keys.First;
                                });
  return *std::prev(After);
}

std::vector<OwnedKeys> KeyMap::ownedBy(const InstanceId &Instance) const {
  std::vector<OwnedKeys> Owned;
  for (const OwnedKeys &Entry : this->Entries) {
    if (Entry.Holder.Instance == Instance) {
      Owned.push_back(Entry);
    }
  }
  return Owned;
}

std::uint32_t KeyMap::countOf(const InstanceId &Instance) const {
  std::uint32_t Count = 0;
  for (const OwnedKeys &Entry : this->Entries) {
    if (Entry.Holder.Instance == Instance) {
      Count += Entry.Keys.size();
    }
  }
  return Count;
}

void KeyMap::cutAt(KeyNumber First) {
  for (std::size_t Index = 0; Index < this->Entries.size(); ++Index) {
    OwnedKeys &Entry = this->Entries[Index];
    bool Inside = Entry.Keys.First < First && First <= Entry.Keys.Last;
    if (!Inside) {
      continue;
    }

    OwnedKeys Tail = Entry;
    Tail.Keys.First = First;
    Entry.Keys.Last = First - 1;
    this->Entries.insert(std::next(this->Entries.begin(),
                                   static_cast<std::ptrdiff_t>(Index) + 1),
                         Tail);
    return;
  }
}

void KeyMap::assign(const KeyRange &Keys, const KeyHolder &Holder,
                    const std::string &Handover) {
  this->cutAt(Keys.First);
  if (Keys.Last < MaxKey) {
    this->cutAt(Keys.Last + 1);
  }

  ++this->LastToken;
  for (OwnedKeys &Entry : this->Entries) {
    if (Keys.overlaps(Entry.Keys)) {
      Entry.Holder = Holder;
      Entry.Token = this->LastToken;
      Entry.Handover = Handover;
    }
  }
  this->join();
}

void KeyMap::join() {
  std::vector<OwnedKeys> Joined;
  for (OwnedKeys &Entry : this->Entries) {
    if (!Joined.empty() && joinsOn(Joined.back(), Entry)) {
      Joined.back().Keys.Last = Entry.Keys.Last;
    } else {
      Joined.push_back(std::move(Entry));
    }
  }
  this->Entries = std::move(Joined);
}

std::string KeyMap::toText() const {
  Json::Value Text;
  Text["token"] = Json::UInt64(this->LastToken);
  Text["holders"] = Json::Value(Json::arrayValue);
  Text["keys"] = Json::Value(Json::arrayValue);

  // Each holder is named once: the row goes to many at every change.
  std::map<KeyHolder, unsigned> Numbers;
  for (const OwnedKeys &Entry : this->Entries) {
    auto [Place, Fresh] = Numbers.emplace(Entry.Holder, Numbers.size());
    if (Fresh) {
      Text["holders"].append(holderToJson(Entry.Holder));
    }
    Text["keys"].append(entryToJson(Entry, Place->second));
  }
  return writeJson(Text);
}

std::optional<KeyMap> KeyMap::fromText(const std::string &Text) {
  auto Value = readJson(Text);
  bool Sound = Value && Value->isObject() && (*Value)["keys"].isArray() &&
               (*Value)["holders"].isArray() && (*Value)["token"].isUInt64();
  auto Holders = Sound ? holdersFromJson((*Value)["holders"]) : std::nullopt;
  if (!Holders) {
    return std::nullopt;
  }

  KeyMap Map;
  Map.Entries.clear();
  Map.LastToken = (*Value)["token"].asUInt64();

  KeyNumber Next = 0;
  for (const Json::Value &Row : (*Value)["keys"]) {
    auto Entry = entryFromJson(Row, *Holders);
    bool Fits = Entry && Entry->Keys.First == Next &&
                Entry->Keys.Last >= Entry->Keys.First &&
                Entry->Keys.Last <= MaxKey && Entry->Token <= Map.LastToken;
    if (!Fits) {
      return std::nullopt;
    }
    Next = Entry->Keys.Last + 1;
    Map.Entries.push_back(std::move(*Entry));
  }
  return Next == MaxKey + 1 ? std::optional(std::move(Map)) : std::nullopt;
}

} // namespace hemlockspar
