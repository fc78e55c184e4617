#include "mesh/KeyMap.h"

#include "core/Json.h"

#include <algorithm>

namespace hemlockspar {

namespace {

Json::Value entryToJson(const OwnedKeys &Entry) {
  Json::Value Row(Json::arrayValue);
  Row.append(Entry.Keys.From);
  Row.append(Entry.Keys.To);
  Row.append(Entry.Holder.Instance);
  Row.append(Entry.Holder.Run.Id);
  Row.append(Json::Int64(Entry.Holder.Run.StartedAt));
  Row.append(Json::UInt64(Entry.Token));
  Row.append(Entry.Handover);
  return Row;
}

constexpr unsigned EntryFields = 7;

std::optional<OwnedKeys> entryFromJson(const Json::Value &Row) {
  bool Sound = Row.isArray() && Row.size() == EntryFields && Row[0].isUInt() &&
               Row[1].isUInt() && Row[2].isString() && Row[3].isString() &&
               Row[4].isInt64() && Row[5].isUInt64() && Row[6].isString();
  if (!Sound) {
    return std::nullopt;
  }

  OwnedKeys Entry;
  Entry.Keys = {Row[0].asUInt(), Row[1].asUInt()};
  Entry.Holder = {Row[2].asString(), {Row[3].asString(), Row[4].asInt64()}};
  Entry.Token = Row[5].asUInt64();
  Entry.Handover = Row[6].asString();
  return Entry;
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
                                  return Wanted < Entry.Keys.From;
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
    bool Inside = Entry.Keys.From < First && First <= Entry.Keys.To;
    if (!Inside) {
      continue;
    }

    OwnedKeys Tail = Entry;
    Tail.Keys.From = First;
    Entry.Keys.To = First - 1;
    this->Entries.insert(std::next(this->Entries.begin(),
                                   static_cast<std::ptrdiff_t>(Index) + 1),
                         Tail);
    return;
  }
}

void KeyMap::assign(const KeySpan &Keys, const KeyHolder &Holder,
                    const std::string &Handover) {
  this->cutAt(Keys.From);
  if (Keys.To < MaxKey) {
    this->cutAt(Keys.To + 1);
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
  Text["keys"] = Json::Value(Json::arrayValue);
  for (const OwnedKeys &Entry : this->Entries) {
    Text["keys"].append(entryToJson(Entry));
  }
  return writeJson(Text);
}

std::optional<KeyMap> KeyMap::fromText(const std::string &Text) {
  auto Value = readJson(Text);
  bool Sound = Value && Value->isObject() && (*Value)["keys"].isArray() &&
               (*Value)["token"].isUInt64();
  if (!Sound) {
    return std::nullopt;
  }

  KeyMap Map;
  Map.Entries.clear();
  Map.LastToken = (*Value)["token"].asUInt64();

  KeyNumber Next = 0;
  for (const Json::Value &Row : (*Value)["keys"]) {
    auto Entry = entryFromJson(Row);
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
