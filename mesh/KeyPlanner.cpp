#include "mesh/KeyPlanner.h"

#include <algorithm>

namespace hemlockspar {

namespace {

constexpr std::uint32_t AllKeys = MaxKey + 1;

/// Parts smaller than this are not worth an entry of their own.
constexpr std::uint32_t SmallestPart = 16;

/// An owner gives keys away for load only when it is at least this busy: below
/// it requests hardly wait, and moved keys arrive cold.
constexpr double BusyEnough = 0.5;

/// The least gap in load between giver and receiver: half of it moves, and a
/// smaller gain does not pay for the pause and the cold start.
constexpr double WorthwhileGap = 0.25;

/// The largest part of an owner's load that moves at once.
constexpr double LargestShare = 0.5;

/// Entries that one owner may have; its answer to a report has to stay small.
constexpr std::size_t MostEntries = 40;

/// Owners that offer keys to a backend server that has joined.
constexpr std::size_t GiversPerJoiner = 2;

const OwnedKeys *busiest(const std::vector<OwnedKeys> &Owned,
                         const KeyLoads &Loads, TimePoint Now) {
  const OwnedKeys *Best = nullptr;
  double BestLoad = -1;
  for (const OwnedKeys &Entry : Owned) {
    double Load = Loads.within(Entry.Keys, Now);
    bool Larger = Load > BestLoad || (Load == BestLoad && Best &&
                                      Entry.Keys.size() > Best->Keys.size());
    if (Larger) {
      Best = &Entry;
      BestLoad = Load;
    }
  }
  return Best;
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
                                const std::vector<KeyRange> &Spans,
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
  for (const KeyRange &Span : Spans) {
    Total += Span.size();
  }
  std::int64_t Target = Total / std::int64_t(Needs.size()) + 1;

  std::vector<PlannedGift> Gifts;
  for (KeyRange Rest : Spans) {
    while (true) {
      auto Least = std::min_element(Needs.begin(), Needs.end(),
                                    [](const Need &First, const Need &Second) {
                                      return First.Has < Second.Has;
                                    });
      std::int64_t Room =
          std::max<std::int64_t>(Target - Least->Has, SmallestPart);
      bool Whole = Rest.size() <= Room + SmallestPart;
      KeyRange Part = Rest;
      if (!Whole) {
        Part.Last = Rest.First + static_cast<KeyNumber>(Room) - 1;
      }

      Gifts.push_back({Part, Least->Holder});
      Least->Has += Part.size();
      if (Whole) {
        break;
      }
      Rest.First = Part.Last + 1;
    }
  }
  return Gifts;
}

std::optional<KeyMember> chooseReceiver(const KeyMap &Map,
                                        const KeyHolder &Self,
                                        const std::vector<KeyMember> &Members,
                                        const std::set<InstanceId> &LeftAlone,
                                        double OwnLoad) {
  std::uint32_t OwnKeys = Map.countOf(Self.Instance);
  const KeyMember *Joiner = nullptr;
  const KeyMember *Least = nullptr;
  std::size_t Ahead = 0;

  for (const KeyMember &Member : Members) {
    if (Member.Holder.Instance == Self.Instance) {
      continue;
    }
    std::uint32_t Keys = Map.countOf(Member.Holder.Instance);
    bool Busier =
        Member.Load > OwnLoad || (Member.Load == OwnLoad && Keys > OwnKeys);
    Ahead += Busier && Keys > 0 ? 1 : 0;
    if (LeftAlone.contains(Member.Holder.Instance)) {
      continue;
    }
    Joiner = Keys == 0 && !Joiner ? &Member : Joiner;
    Least = !Least || Member.Load < Least->Load ? &Member : Least;
  }
  if (OwnKeys == 0) {
    return std::nullopt;
  }
  if (Joiner && Ahead < GiversPerJoiner) {
    return *Joiner;
  }

  bool Gap =
      Least && OwnLoad >= BusyEnough && OwnLoad - Least->Load >= WorthwhileGap;
  return Gap ? std::optional(*Least) : std::nullopt;
}

std::optional<KeyRange> halfOf(const std::vector<OwnedKeys> &Owned,
                               const KeyLoads &Loads, TimePoint Now) {
  const OwnedKeys *Entry = busiest(Owned, Loads, Now);
  if (!Entry || Entry->Keys.size() < 2 * SmallestPart) {
    return std::nullopt;
  }

  double Load = Loads.within(Entry->Keys, Now);
  auto Part = Loads.cutOff(Entry->Keys, Load / 2, false, Now);
  bool Usable = Load > 0 && Part && Part->size() >= SmallestPart;
  KeyNumber Middle = Entry->Keys.First + Entry->Keys.size() / 2;
  return Usable ? *Part : KeyRange{Middle, Entry->Keys.Last};
}

std::optional<KeyRange> choosePart(const std::vector<OwnedKeys> &Owned,
                                   double Part, double OwnLoad,
                                   const KeyLoads &Loads, TimePoint Now) {
  double Total = 0;
  for (const OwnedKeys &Entry : Owned) {
    Total += Loads.within(Entry.Keys, Now);
  }
  const OwnedKeys *Entry = busiest(Owned, Loads, Now);
  bool Worthwhile =
      Total > 0 && OwnLoad > 0 && Entry && Owned.size() < MostEntries;
  if (!Worthwhile) {
    return std::nullopt;
  }

  double Load = Total * std::min(Part / OwnLoad, LargestShare);
  auto Keys = Loads.cutOff(Entry->Keys, Load, false, Now);
  if (!Keys || Keys->size() < SmallestPart) {
    Keys = Loads.cutOff(Entry->Keys, Load, true, Now);
  }
  return Keys;
}

} // namespace hemlockspar
