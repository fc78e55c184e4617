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

Json::Value holderToJson(const KeyMapOwner &Holder) {
  Json::Value Row(Json::arrayValue);
  Row.append(Holder.Instance);
  Row.append(Holder.Run.Id);
  Row.append(Json::Int64(Holder.Run.StartedAt));
  return Row;
}

std::optional<KeyMapOwner> holderFromJson(const Json::Value &Row) {
  bool Sound = Row.isArray() && Row.size() == HolderFields &&
               Row[0].isString() && Row[1].isString() && Row[2].isInt64();
  if (!Sound) {
    return std::nullopt;
  }
  return KeyMapOwner{Row[0].asString(), {Row[1].asString(), Row[2].asInt64()}};
}

Json::Value entryToJson(const KeyMapEntry &Entry, unsigned Holder) {
  Json::Value Row(Json::arrayValue);
  Row.append(Entry.Keys.From);
  Row.append(Entry.Keys.To);
  Row.append(Holder);
  Row.append(Json::UInt64(Entry.Token));
  if (!Entry.HandoverState.empty()) {
    Row.append(Entry.HandoverState);
  }
  return Row;
}

std::optional<KeyMapEntry>
entryFromJson(const Json::Value &Row, const std::vector<KeyMapOwner> &Holders) {
  bool Sound = Row.isArray() && Row.size() >= LeastEntryFields &&
               Row.size() <= MostEntryFields && Row[0].isUInt() &&
               Row[1].isUInt() && Row[2].isUInt() && Row[3].isUInt64() &&
               Row[2].asUInt() < Holders.size() &&
               (Row.size() == LeastEntryFields || Row[4].isString());
  if (!Sound) {
    return std::nullopt;
  }

  KeyMapEntry Entry;
  Entry.Keys = {Row[0].asUInt(), Row[1].asUInt()};
  Entry.Owner = Holders[Row[2].asUInt()];
  Entry.Token = Row[3].asUInt64();
  Entry.HandoverState = Row.size() == MostEntryFields ? Row[4].asString() : "";
  return Entry;
}

std::optional<std::vector<KeyMapOwner>>
holdersFromJson(const Json::Value &Rows) {
  std::vector<KeyMapOwner> Holders;
  for (const Json::Value &Row : Rows) {
    auto Holder = holderFromJson(Row);
    if (!Holder) {
      return std::nullopt;
    }
    Holders.push_back(std::move(*Holder));
  }
  return Holders;
}

bool joinsOn(const KeyMapEntry &First, const KeyMapEntry &Next) {
  return First.Owner == Next.Owner && First.Token == Next.Token &&
         First.HandoverState == Next.HandoverState;
}

} // namespace

KeyMap::KeyMap() : Entries({{{0, MaxKey}, {}, 0, ""}}) {}

const KeyMapEntry &KeyMap::find(KeyNumber Key) const {
  auto After = std::upper_bound(this->Entries.begin(), this->Entries.end(), Key,
                                [](KeyNumber Wanted, const KeyMapEntry &Entry) {
                                  return Wanted < Entry.Keys.From;
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
    bool Inside = Entry.Keys.From < First && First <= Entry.Keys.To;
    if (!Inside) {
      continue;
    }

    KeyMapEntry Tail = Entry;
    Tail.Keys.From = First;
    Entry.Keys.To = First - 1;
    this->Entries.insert(std::next(this->Entries.begin(),
                                   static_cast<std::ptrdiff_t>(Index) + 1),
                         Tail);
    return;
  }
}

void KeyMap::assign(const KeySpan &Keys, const KeyMapOwner &Holder,
                    const std::string &Handover) {
  this->splitAt(Keys.From);
  if (Keys.To < MaxKey) {
    this->splitAt(Keys.To + 1);
  }

  ++this->LastToken;
  for (KeyMapEntry &Entry : this->Entries) {
    if (Keys.overlaps(Entry.Keys)) {
      Entry.Owner = Holder;
      Entry.Token = this->LastToken;
      Entry.HandoverState = Handover;
    }
  }
  this->mergeAdjacent();
}

void KeyMap::mergeAdjacent() {
  std::vector<KeyMapEntry> Joined;
  for (KeyMapEntry &Entry : this->Entries) {
    if (!Joined.empty() && joinsOn(Joined.back(), Entry)) {
      Joined.back().Keys.To = Entry.Keys.To;
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
  std::map<KeyMapOwner, unsigned> Numbers;
  for (const KeyMapEntry &Entry : this->Entries) {
    auto [Place, Fresh] = Numbers.emplace(Entry.Owner, Numbers.size());
    if (Fresh) {
      Text["holders"].append(holderToJson(Entry.Owner));
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
    bool Fits = Entry && Entry->Keys.From == Next &&
                Entry->Keys.To >= Entry->Keys.From &&
                Entry->Keys.To <= MaxKey && Entry->Token <= Map.LastToken;
    if (!Fits) {
      return std::nullopt;
    }
    Next = Entry->Keys.To + 1;
    Map.Entries.push_back(std::move(*Entry));
  }
  return Next == MaxKey + 1 ? std::optional(std::move(Map)) : std::nullopt;
}

} // namespace hemlockspar
