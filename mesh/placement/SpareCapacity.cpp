#include "mesh/placement/SpareCapacity.h"

#include <algorithm>

namespace hemlockspar {

namespace {

/// Pieces into which the ranges of one owner are cut at most: each is an entry
/// of the key map and of the response to a report.
constexpr std::size_t MaxPieces = 24;

struct Piece {
  KeyRange Keys;
  double Load = 0;
};

/// Cuts \p Ranges into pieces of about \p PieceLoad slots each.
std::vector<Piece> cutByLoad(const std::vector<KeyRange> &Ranges,
                             double PieceLoad, const KeyLoads &Loads,
                             TimePoint Now) {
  std::vector<Piece> Pieces;
  for (KeyRange Rest : Ranges) {
    while (Pieces.size() < MaxPieces) {
      auto Part = Loads.findEdgeRange(Rest, PieceLoad, true, Now);
      if (!Part) {
        break;
      }
      Pieces.push_back({*Part, Loads.loadOf(*Part, Now)});
      Rest.First = Part->Last + 1;
    }
    Pieces.push_back({Rest, Loads.loadOf(Rest, Now)});
  }
  return Pieces;
}

} // namespace

std::vector<PlannedHandover> distributeBySpareCapacity(
    const KeyMap &Map, const std::vector<KeyRange> &Ranges,
    const std::vector<OwnerCandidate> &Candidates, const KeyLoads &Loads,
    std::uint32_t Slots, TimePoint Now) {
  double Total = 0;
  for (const KeyRange &Range : Ranges) {
    Total += Loads.loadOf(Range, Now);
  }
  if (Total <= 0) {
    return distributeEvenly(Map, Ranges, Candidates);
  }

  std::vector<OwnerCandidate> Receivers = Candidates;
  std::size_t Parts = std::min(Receivers.size(), MaxPieces);
  std::vector<Piece> Pieces =
      cutByLoad(Ranges, Total / static_cast<double>(Parts), Loads, Now);
  std::stable_sort(Pieces.begin(), Pieces.end(),
                   [](const Piece &First, const Piece &Second) {
                     return First.Load > Second.Load;
                   });

  std::vector<PlannedHandover> Planned;
  for (const Piece &Next : Pieces) {
    auto Freest = std::min_element(
        Receivers.begin(), Receivers.end(),
        [](const OwnerCandidate &First, const OwnerCandidate &Second) {
          return First.Load < Second.Load;
        });
    Planned.push_back({Next.Keys, Freest->Owner});

    // Pieces without load go round the receivers that have room.
    double Share = std::max(Next.Load, Total / MaxPieces / 4);
    Freest->Load += Share / std::max(Slots, 1U);
  }
  return Planned;
}

} // namespace hemlockspar
