#include "coordination/WitnessSelector.h"

#include "core/Hash.h"

#include <algorithm>

namespace hemlockspar {

namespace {

/// How strictly the spread over places is kept in one pass of the choice.
struct SpreadLimits {
  std::size_t PerDataCenter;
  std::size_t OtherRegions;
};

class Choice {
public:
  Choice(const WitnessCandidate &Self, std::size_t Wanted)
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

  // Rendezvous hashing spreads the holders evenly over the witnesses.
  auto Rank = [&](const WitnessCandidate &Candidate) {
    std::string Pair =
        this->Self.Witness.Instance + "\n" + Candidate.Witness.Instance;
    bool Kept = contains(Keep, Candidate.Witness);
    return std::make_pair(!Kept, stableHash(Pair));
  };
  std::sort(Candidates.begin(), Candidates.end(),
            [&](const auto &Left, const auto &Right) {
              return Rank(Left) < Rank(Right);
            });

  std::size_t Minority = Wanted - Wanted / 2 - 1;

  Choice Result(this->Self, Wanted);
  // Witnesses in the holder's own region cost no traffic between regions.
  Result.fill(Candidates, {Minority, 0});
  Result.fill(Candidates, {Minority, Minority});
  Result.fill(Candidates, {Minority, Wanted});
  Result.fill(Candidates, {Wanted, Wanted});
  return Result.result();
}

} // namespace hemlockspar
