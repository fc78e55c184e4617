#include "coordination/WitnessSelector.h"

#include "core/Hash.h"

#include <algorithm>
#include <tuple>

namespace hemlockspar {

namespace {

/// Limits on the placement of witnesses in one pass of the selection.
struct SpreadLimits {
  std::size_t PerDataCenter;
  std::size_t OtherRegions;
};

class Selection {
public:
  Selection(const WitnessCandidate &Self, std::size_t Wanted)
      : Self(Self), Wanted(Wanted) {}

  void fill(const std::vector<WitnessCandidate> &Ordered, SpreadLimits Limits) {
    for (const WitnessCandidate &Candidate : Ordered) {
      if (this->Chosen.size() < this->Wanted &&
          this->allows(Candidate, Limits)) {
        this->Chosen.push_back(Candidate);
      }
    }
  }

  WitnessSet result() const {
    WitnessSet Witnesses;
    for (const WitnessCandidate &Candidate : this->Chosen) {
      Witnesses.push_back(Candidate.Witness);
    }
    return Witnesses;
  }

private:
  bool allows(const WitnessCandidate &Candidate, SpreadLimits Limits) const {
    std::size_t SameDataCenter = 0;
    std::size_t OtherRegions = Candidate.Region != this->Self.Region ? 1 : 0;

    for (const WitnessCandidate &Other : this->Chosen) {
      if (Other.Witness == Candidate.Witness) {
        return false;
      }
      SameDataCenter += Other.Region == Candidate.Region &&
                        Other.DataCenter == Candidate.DataCenter;
      OtherRegions += Other.Region != this->Self.Region;
    }

    return SameDataCenter < Limits.PerDataCenter &&
           OtherRegions <= Limits.OtherRegions;
  }

  const WitnessCandidate &Self;
  std::size_t Wanted;
  std::vector<WitnessCandidate> Chosen;
};

bool contains(const WitnessSet &Witnesses, const WitnessRef &Witness) {
  return std::find(Witnesses.begin(), Witnesses.end(), Witness) !=
         Witnesses.end();
}

std::size_t wantedCount(std::size_t Available) {
  if (Available < WitnessSelector::MinWitnesses) {
    return 0;
  }
  if (Available < WitnessSelector::MaxWitnesses) {
    return WitnessSelector::MinWitnesses;
  }
  return WitnessSelector::MaxWitnesses;
}

} // namespace

WitnessSelector::WitnessSelector(WitnessCandidate Self)
    : Self(std::move(Self)) {}

WitnessSet WitnessSelector::choose(std::vector<WitnessCandidate> Candidates,
                                   const WitnessSet &Keep) const {
  std::size_t Wanted = wantedCount(Candidates.size());
  if (Wanted == 0) {
    return {};
  }

  this->sortByRank(Candidates, Keep);
  std::size_t Minority = Wanted - Wanted / 2 - 1;

  Selection Result(this->Self, Wanted);
  // Witnesses in the holder's own region cost no traffic between regions.
  Result.fill(Candidates, {Minority, 0});
  Result.fill(Candidates, {Minority, Minority});
  Result.fill(Candidates, {Minority, Wanted});
  Result.fill(Candidates, {Wanted, Wanted});
  return Result.result();
}

void WitnessSelector::sortByRank(std::vector<WitnessCandidate> &Candidates,
                                 const WitnessSet &Keep) const {
  struct Ranked {
    bool Kept;
    std::uint64_t Hash;
    std::size_t Index;
  };

  // Rendezvous hashing spreads the holders evenly over the witnesses.
  std::vector<Ranked> Ranks;
  for (std::size_t Index = 0; Index < Candidates.size(); ++Index) {
    const WitnessRef &Witness = Candidates[Index].Witness;
    std::string Pair = this->Self.Witness.Instance + "\n" + Witness.Instance;
    Ranks.push_back({contains(Keep, Witness), stableHash(Pair), Index});
  }

  std::sort(Ranks.begin(), Ranks.end(),
            [](const Ranked &Left, const Ranked &Right) {
              return std::tie(Right.Kept, Left.Hash) <
                     std::tie(Left.Kept, Right.Hash);
            });

  std::vector<WitnessCandidate> Sorted;
  for (const Ranked &Rank : Ranks) {
    Sorted.push_back(std::move(Candidates[Rank.Index]));
  }
  Candidates = std::move(Sorted);
}

} // namespace hemlockspar
