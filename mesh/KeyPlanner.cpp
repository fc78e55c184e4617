#include "mesh/KeyPlanner.h"

#include <algorithm>

namespace hemlockspar {

namespace {

constexpr std::uint32_t AllKeys = MaxKey + 1;

/// Parts smaller than this are not worth an entry of their own.
constexpr std::uint32_t SmallestPart = 16;

/// An owner gives keys away for load only when it is at least this busy: below
/// it requests hardly wait, and moved keys arrive cold.
constexpr double BusyEnough = 0.7;

/// The least gap in load between giver and receiver: half of it moves, and a
/// smaller gain does not pay for the pause and the cold start.
constexpr double WorthwhileGap = 0.3;

/// Entries that one owner may have; its answer to a report has to stay small.
constexpr std::size_t MostEntries = 24;

std::vector<KeyMember> byLoad(std::vector<KeyMember> Members) {
  std::sort(Members.begin(), Members.end(),
            [](const KeyMember &First, const KeyMember &Second) {
              return First.Load != Second.Load
                         ? First.Load > Second.Load
                         : First.Holder < Second.Holder;
            });
  return Members;
}

/// Index of \p Self among those that own keys, the most loaded first; the
/// count of members when it owns none.
std::size_t rankAmongOwners(const KeyMap &Map,
                            const std::vector<KeyMember> &Sorted,
                            const KeyHolder &Self) {
  std::size_t Rank = 0;
  for (const KeyMember &Member : Sorted) {
    if (Member.Holder.Instance == Self.Instance) {
      return Rank;
    }
    Rank += Map.countOf(Member.Holder.Instance) > 0 ? 1 : 0;
  }
  return Sorted.size();
}

const OwnedKeys *busiest(const std::vector<OwnedKeys> &Owned,
                         const KeyLoads &Loads, TimePoint Now) {
  const OwnedKeys *Best = nullptr;
  double BestLoad = -1;
  for (const OwnedKeys &Entry : Owned) {
    double Load = Loads.within(Entry.Keys, Now);
    bool Larger = Load > BestLoad ||
                  (Load == BestLoad && Best &&
                   Entry.Keys.size() > Best->Keys.size());
    if (Larger) {
      Best = &Entry;
      BestLoad = Load;
    }
  }
  return Best;
}

/// About half of what \p Owned carries: by load when there is any, by count
/// otherwise.
std::optional<KeySpan> halfOf(const std::vector<OwnedKeys> &Owned,
                              const KeyLoads &Loads, TimePoint Now) {
  const OwnedKeys *Entry = busiest(Owned, Loads, Now);
  if (!Entry || Entry->Keys.size() < 2 * SmallestPart) {
    return std::nullopt;
  }

  double Load = Loads.within(Entry->Keys, Now);
  auto Part = Loads.cutOff(Entry->Keys, Load / 2, false, Now);
  bool Usable = Load > 0 && Part && Part->size() >= SmallestPart;
  KeyNumber Middle = Entry->Keys.From + Entry->Keys.size() / 2;
  return Usable ? *Part : KeySpan{Middle, Entry->Keys.To};
}

std::optional<PlannedGift> giftForJoiner(const KeyMap &Map,
                                         const KeyHolder &Self,
                                         const std::vector<KeyMember> &Sorted,
                                         const KeyLoads &Own, TimePoint Now) {
  std::vector<KeyHolder> Empty;
  for (const KeyMember &Member : Sorted) {
    if (Map.countOf(Member.Holder.Instance) == 0) {
      Empty.push_back(Member.Holder);
    }
  }
  std::sort(Empty.begin(), Empty.end());

  std::size_t Rank = rankAmongOwners(Map, Sorted, Self);
  if (Rank >= Empty.size()) {
    return std::nullopt;
  }
  auto Part = halfOf(Map.ownedBy(Self.Instance), Own, Now);
  return Part ? std::optional(PlannedGift{*Part, Empty[Rank]}) : std::nullopt;
}

std::optional<PlannedGift> giftForLoad(const KeyMap &Map, const KeyHolder &Self,
                                       const std::vector<KeyMember> &Sorted,
                                       const KeyLoads &Own, TimePoint Now) {
  const KeyMember &Giver = Sorted.front();
  const KeyMember &Receiver = Sorted.back();
  double Gap = Giver.Load - Receiver.Load;
  std::vector<OwnedKeys> Owned = Map.ownedBy(Self.Instance);
  bool Wanted = Giver.Holder.Instance == Self.Instance &&
                Giver.Load >= BusyEnough && Gap >= WorthwhileGap &&
                Owned.size() < MostEntries;
  if (!Wanted) {
    return std::nullopt;
  }

  const OwnedKeys *Entry = busiest(Owned, Own, Now);
  double Total = Own.total(Now);
  if (!Entry || Total <= 0) {
    return std::nullopt;
  }

  double Share = Gap / 2 / Giver.Load;
  auto Part = Own.cutOff(Entry->Keys, Total * Share, false, Now);
  if (!Part || Part->size() < SmallestPart) {
    Part = Own.cutOff(Entry->Keys, Total * Share, true, Now);
  }
  return Part ? std::optional(PlannedGift{*Part, Receiver.Holder})
              : std::nullopt;
}

} // namespace

KeyMap firstLayout(const std::vector<KeyMember> &Members) {
  KeyMap Map;
  std::uint32_t Count = static_cast<std::uint32_t>(Members.size());

  for (std::uint32_t Index = 0; Index < Count; ++Index) {
    KeyNumber From = AllKeys / Count * Index;
    KeyNumber To =
        Index + 1 == Count ? MaxKey : AllKeys / Count * (Index + 1) - 1;
    Map.assign({From, To}, Members[Index].Holder, "");
  }
  return Map;
}

std::vector<PlannedGift> spread(const KeyMap &Map,
                                const std::vector<KeySpan> &Spans,
                                const std::vector<KeyMember> &Members) {
  struct Need {
    KeyHolder Holder;
    std::int64_t Has = 0;
  };

  std::vector<Need> Needs;
  std::int64_t Total = 0;
  for (const KeyMember &Member : Members) {
    Needs.push_back({Member.Holder, Map.countOf(Member.Holder.Instance)});
    Total += Needs.back().Has;
  }
  for (const KeySpan &Span : Spans) {
    Total += Span.size();
  }
  std::int64_t Target = Total / std::int64_t(Needs.size()) + 1;

  std::vector<PlannedGift> Gifts;
  for (KeySpan Rest : Spans) {
    while (true) {
      auto Least = std::min_element(
          Needs.begin(), Needs.end(),
          [](const Need &First, const Need &Second) {
            return First.Has < Second.Has;
          });
      std::int64_t Room = std::max<std::int64_t>(Target - Least->Has,
                                                 SmallestPart);
      bool Whole = Rest.size() <= Room + SmallestPart;
      KeySpan Part = Rest;
      if (!Whole) {
        Part.To = Rest.From + static_cast<KeyNumber>(Room) - 1;
      }

      Gifts.push_back({Part, Least->Holder});
      Least->Has += Part.size();
      if (Whole) {
        break;
      }
      Rest.From = Part.To + 1;
    }
  }
  return Gifts;
}

std::optional<PlannedGift> planGift(const KeyMap &Map, const KeyHolder &Self,
                                    const std::vector<KeyMember> &Members,
                                    const KeyLoads &Own, TimePoint Now) {
  if (Members.size() < 2 || Map.countOf(Self.Instance) == 0) {
    return std::nullopt;
  }

  std::vector<KeyMember> Sorted = byLoad(Members);
  auto Joiner = giftForJoiner(Map, Self, Sorted, Own, Now);
  return Joiner ? Joiner : giftForLoad(Map, Self, Sorted, Own, Now);
}

} // namespace hemlockspar
