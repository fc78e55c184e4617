#include "tests/soak/SoakPlan.h"

#include "core/EnumNames.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <random>

namespace hemlockspar {

namespace {

using std::chrono::milliseconds;

constexpr std::array<const char *, SoakFaultCount> FaultNames = {
    "daemon_killed",        "daemon_paused",        "daemon_stopped",
    "daemon_reloaded",      "link_delayed",         "link_reset",
    "link_cut_one_way",     "link_silent",          "store_refuses",
    "store_silent",         "store_loses_answers",  "store_forgets",
    "store_restored",       "server_loses_answers", "server_refuses",
    "server_wrong_ids",     "server_mute",          "server_restarts",
    "configuration_changes"};

/// Mean time between the starts of two successive faults.
constexpr auto MeanFaultInterval = milliseconds(350);

constexpr int MinFaultDurationMs = 100;

/// Longer than any grant and most leases, so that these expire during a fault.
constexpr int MaxFaultDurationMs = 5000;

} // namespace

const char *nameOf(SoakFault Fault) { return enumName(FaultNames, Fault); }

std::string SoakEvent::toText() const {
  return absl::StrCat(this->StartOffset.count(), " ms: ", nameOf(this->Fault),
                      " ", this->Target, " ", this->Peer, " for ",
                      this->FaultDuration.count(), " ms");
}

std::vector<SoakEvent> makeSoakPlan(std::uint32_t Seed, int Daemons,
                                    milliseconds Length) {
  std::mt19937 Random(Seed);
  std::uniform_int_distribution<int> FaultDistribution(0, SoakFaultCount - 1);
  std::uniform_int_distribution<int> TargetDistribution(0, Daemons - 1);
  std::uniform_int_distribution<int> PeerDistribution(-1, Daemons - 1);
  std::uniform_int_distribution<int> DurationDistribution(MinFaultDurationMs,
                                                          MaxFaultDurationMs);
  std::exponential_distribution<double> IntervalDistribution(
      1.0 / double(MeanFaultInterval.count()));

  std::vector<SoakEvent> Plan;
  milliseconds StartOffset{};
  while (true) {
    StartOffset += milliseconds(static_cast<int>(IntervalDistribution(Random)));
    if (StartOffset >= Length) {
      return Plan;
    }
    SoakEvent Event;
    Event.Fault = static_cast<SoakFault>(FaultDistribution(Random));
    Event.Target = TargetDistribution(Random);
    Event.Peer = PeerDistribution(Random);
    Event.StartOffset = StartOffset;
    Event.FaultDuration = std::min(milliseconds(DurationDistribution(Random)),
                                   Length - StartOffset);
    Plan.push_back(Event);
  }
}

} // namespace hemlockspar
