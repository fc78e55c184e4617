#include "mesh/KeyPlanner.h"

#include <algorithm>

namespace hemlockspar {

namespace {

constexpr std::uint32_t AllKeys = MaxKey + 1;

/// Smaller ranges are not worth an entry of their own.
constexpr std::uint32_t MinRangeKeys = 16;

/// An owner hands over keys because of load only when its load is at least this
/// high: below it requests hardly wait, and keys are cold at the receiver after
/// a move.
constexpr double MinGiverLoad = 0.5;

/// Smallest difference in load between giver and receiver: half of it moves,
/// and a smaller gain does not justify the pause and the cold start.
constexpr double MinLoadGap = 0.25;

/// Largest share of an owner's load that is moved at once.
constexpr double MaxMovedShare = 0.5;

/// Limit on the entries of one owner, to keep the response to its backend
/// server's report small.
constexpr std::size_t MaxEntriesPerOwner = 40;

/// Number of owners that offer keys to a backend server that has joined.
constexpr std::size_t GiversPerNewServer = 2;

const KeyMapEntry *busiest(const std::vector<KeyMapEntry> &Owned,
                           const KeyLoads &Loads, TimePoint Now) {
  const KeyMapEntry *Best = nullptr;
  double BestLoad = -1;
  for (const KeyMapEntry &Entry : Owned) {
    double Load = Loads.loadOf(Entry.Keys, Now);
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

KeyMap initialLayout(const std::vector<OwnerCandidate> &Candidates) {
  KeyMap Map;
  std::uint32_t Count = static_cast<std::uint32_t>(Candidates.size());

  for (std::uint32_t Index = 0; Index < Count; ++Index) {
    KeyNumber From = AllKeys / Count * Index;
    KeyNumber To =
        Index + 1 == Count ? MaxKey : AllKeys / Count * (Index + 1) - 1;
    Map.assign({From, To}, Candidates[Index].Owner, "");
  }
  return Map;
}

std::vector<PlannedHandover>
distributeEvenly(const KeyMap &Map, const std::vector<KeyRange> &Ranges,
                 const std::vector<OwnerCandidate> &Candidates) {
  struct Receiver {
    KeyMapOwner Owner;
    std::int64_t KeyCount = 0;
  };

  std::vector<Receiver> Receivers;
  std::int64_t Total = 0;
  for (const OwnerCandidate &Candidate : Candidates) {
    Receivers.push_back(
        {Candidate.Owner, Map.keyCount(Candidate.Owner.Instance)});
    Total += Receivers.back().KeyCount;
  }
  for (const KeyRange &Range : Ranges) {
    Total += Range.size();
  }
  std::int64_t Target = Total / std::int64_t(Receivers.size()) + 1;

  std::vector<PlannedHandover> Handovers;
  for (KeyRange Rest : Ranges) {
    while (true) {
      auto Least =
          std::min_element(Receivers.begin(), Receivers.end(),
                           [](const Receiver &First, const Receiver &Second) {
                             return First.KeyCount < Second.KeyCount;
                           });
      std::int64_t Room =
          std::max<std::int64_t>(Target - Least->KeyCount, MinRangeKeys);
      bool Whole = Rest.size() <= Room + MinRangeKeys;
      KeyRange Part = Rest;
      if (!Whole) {
        Part.Last = Rest.First + static_cast<KeyNumber>(Room) - 1;
      }

      Handovers.push_back({Part, Least->Owner});
      Least->KeyCount += Part.size();
      if (Whole) {
        break;
      }
      Rest.First = Part.Last + 1;
    }
  }
  return Handovers;
}

std::optional<OwnerCandidate>
chooseReceiver(const KeyMap &Map, const KeyMapOwner &Self,
               const std::vector<OwnerCandidate> &Candidates,
               const std::set<InstanceId> &Excluded, double OwnLoad) {
  std::uint32_t OwnKeys = Map.keyCount(Self.Instance);
  const OwnerCandidate *NewServer = nullptr;
  const OwnerCandidate *Least = nullptr;
  std::size_t BusierOwners = 0;

  for (const OwnerCandidate &Candidate : Candidates) {
    if (Candidate.Owner.Instance == Self.Instance) {
      continue;
    }
    std::uint32_t Keys = Map.keyCount(Candidate.Owner.Instance);
    bool Busier = Candidate.Load > OwnLoad ||
                  (Candidate.Load == OwnLoad && Keys > OwnKeys);
    BusierOwners += Busier && Keys > 0 ? 1 : 0;
    if (Excluded.contains(Candidate.Owner.Instance)) {
      continue;
    }
    NewServer = Keys == 0 && !NewServer ? &Candidate : NewServer;
    Least = !Least || Candidate.Load < Least->Load ? &Candidate : Least;
  }
  if (OwnKeys == 0) {
    return std::nullopt;
  }
  if (NewServer && BusierOwners < GiversPerNewServer) {
    return *NewServer;
  }

  bool Gap =
      Least && OwnLoad >= MinGiverLoad && OwnLoad - Least->Load >= MinLoadGap;
  return Gap ? std::optional(*Least) : std::nullopt;
}

std::optional<KeyRange> selectHalf(const std::vector<KeyMapEntry> &Owned,
                                   const KeyLoads &Loads, TimePoint Now) {
  const KeyMapEntry *Entry = busiest(Owned, Loads, Now);
  if (!Entry || Entry->Keys.size() < 2 * MinRangeKeys) {
    return std::nullopt;
  }

  double Load = Loads.loadOf(Entry->Keys, Now);
  auto Part = Loads.findEdgeRange(Entry->Keys, Load / 2, false, Now);
  bool Usable = Load > 0 && Part && Part->size() >= MinRangeKeys;
  KeyNumber Middle = Entry->Keys.First + Entry->Keys.size() / 2;
  return Usable ? *Part : KeyRange{Middle, Entry->Keys.Last};
}

std::optional<KeyRange> selectKeysByLoad(const std::vector<KeyMapEntry> &Owned,
                                         double AcceptedLoad, double OwnLoad,
                                         const KeyLoads &Loads, TimePoint Now) {
  double Total = 0;
  for (const KeyMapEntry &Entry : Owned) {
    Total += Loads.loadOf(Entry.Keys, Now);
  }
  const KeyMapEntry *Entry = busiest(Owned, Loads, Now);
  bool Worthwhile =
      Total > 0 && OwnLoad > 0 && Entry && Owned.size() < MaxEntriesPerOwner;
  if (!Worthwhile) {
    return std::nullopt;
  }

  double Load = Total * std::min(AcceptedLoad / OwnLoad, MaxMovedShare);
  auto Keys = Loads.findEdgeRange(Entry->Keys, Load, false, Now);
  if (!Keys || Keys->size() < MinRangeKeys) {
    Keys = Loads.findEdgeRange(Entry->Keys, Load, true, Now);
  }
  return Keys;
}

} // namespace hemlockspar
