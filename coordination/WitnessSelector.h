#pragma once

#include "coordination/Rows.h"

#include <vector>

namespace hemlockspar {

/// An instance that may be chosen as a witness, with its location.
struct WitnessCandidate {
  WitnessRef Witness;
  std::string Region;
  std::string DataCenter;
};

/// Chooses witnesses so that losing one data centre, or the link to another
/// region, leaves a majority where the candidates allow it.
class WitnessSelector {
public:
  static constexpr std::size_t MaxWitnesses = 5;
  static constexpr std::size_t MinWitnesses = 3;

  /// \p Self is the holder; its own region is preferred.
  explicit WitnessSelector(WitnessCandidate Self);

  /// An odd number of witnesses, at most MaxWitnesses, out of \p Candidates;
  /// empty when there are fewer than MinWitnesses. Members of \p Keep are
  /// chosen first where the spread allows it.
  WitnessSet choose(std::vector<WitnessCandidate> Candidates,
                    const WitnessSet &Keep) const;

private:
  /// Sorts candidates of \p Keep first, then by rendezvous hash of holder and
  /// candidate.
  void sortByRank(std::vector<WitnessCandidate> &Candidates,
                  const WitnessSet &Keep) const;

  WitnessCandidate Self;
};

} // namespace hemlockspar
