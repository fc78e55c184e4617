#include "coordination/LoadMeter.h"

#include <algorithm>
#include <cmath>

namespace hemlockspar {

namespace {

constexpr double SmoothingSeconds = 3.0;

/// Slots whose mean concurrency is below this are dropped.
constexpr double NegligibleShare = 1e-6;

} // namespace

void LoadMeter::record(const std::string &Keyspace, SlotIndex Slot,
                       Duration Busy) {
  this->Slots[{Keyspace, Slot}].Recent += Busy;
}

OwnLoad LoadMeter::report(std::uint32_t Capacity, std::size_t Waiting,
                          TimePoint Now) {
  OwnLoad Load;
  double Seconds =
      std::chrono::duration<double>(Now - this->LastReport).count();
  this->LastReport = Now;

  if (Seconds <= 0 || Capacity == 0) {
    return Load;
  }

  double Keep = std::exp(-Seconds / SmoothingSeconds);
  double TotalShare = 0;

  for (auto &[Slot, Use] : this->Slots) {
    double Share = std::chrono::duration<double>(Use.Recent).count() / Seconds;
    Use.Recent = Duration::zero();
    Use.BusyShare = Keep * Use.BusyShare + (1 - Keep) * Share;
    TotalShare += Use.BusyShare;
    Load.Busiest.push_back({Slot.first, Slot.second, Use.BusyShare / Capacity});
  }

  std::erase_if(this->Slots, [](const auto &Entry) {
    return Entry.second.BusyShare < NegligibleShare;
  });

  std::sort(Load.Busiest.begin(), Load.Busiest.end(),
            [](const SlotLoad &Left, const SlotLoad &Right) {
              return Left.Utilization > Right.Utilization;
            });
  Load.Busiest.resize(std::min(Load.Busiest.size(), MaxReported));

  double Queued = static_cast<double>(Waiting);
  Load.Status.Utilization = (TotalShare + Queued) / Capacity;
  return Load;
}

} // namespace hemlockspar
