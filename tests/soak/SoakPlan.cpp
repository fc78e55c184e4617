#include "tests/soak/SoakPlan.h"

#include "core/EnumNames.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <random>

namespace hemlockspar {

namespace {

using std::chrono::milliseconds;

constexpr std::array<const char *, SoakFaultCount> Names = {
    "daemon_killed",        "daemon_paused",       "daemon_stopped",
    "daemon_reloaded",      "link_delayed",        "link_reset",
    "link_cut_one_way",     "link_silent",         "store_refuses",
    "store_silent",         "store_loses_answers", "store_forgets",
    "server_loses_answers", "server_refuses",      "server_wrong_ids",
    "server_mute",          "server_restarts",     "configuration_changes"};

/// Between the beginnings of two faults, on average.
constexpr auto MeanGap = milliseconds(350);

constexpr int ShortestMs = 100;

/// Longer than any grant and most leases.
constexpr int LongestMs = 5000;

} // namespace

const char *nameOf(SoakFault Fault) { return enumName(Names, Fault); }

std::string SoakEvent::toText() const {
  return absl::StrCat(this->At.count(), " ms: ", nameOf(this->Fault), " ",
                      this->Who, " ", this->Other, " for ",
                      this->Lasting.count(), " ms");
}

std::vector<SoakEvent> makeSoakPlan(std::uint32_t Seed, int Daemons,
                                    milliseconds Length) {
  std::mt19937 Random(Seed);
  std::uniform_int_distribution<int> AnyFault(0, SoakFaultCount - 1);
  std::uniform_int_distribution<int> AnyDaemon(0, Daemons - 1);
  std::uniform_int_distribution<int> AnyOther(-1, Daemons - 1);
  std::uniform_int_distribution<int> AnySpan(ShortestMs, LongestMs);
  std::exponential_distribution<double> Gap(1.0 / double(MeanGap.count()));

  std::vector<SoakEvent> Plan;
  milliseconds At{};
  while (true) {
    At += milliseconds(static_cast<int>(Gap(Random)));
    if (At >= Length) {
      return Plan;
    }
    SoakEvent Event;
    Event.Fault = static_cast<SoakFault>(AnyFault(Random));
    Event.Who = AnyDaemon(Random);
    Event.Other = AnyOther(Random);
    Event.At = At;
    Event.Lasting = std::min(milliseconds(AnySpan(Random)), Length - At);
    Plan.push_back(Event);
  }
}

} // namespace hemlockspar
