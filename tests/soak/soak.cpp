#include "tests/soak/SoakRun.h"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_uint32(first, 1, "first seed");
DEFINE_uint32(count, 1, "number of consecutive seeds to run");
DEFINE_int32(daemons, 6, "daemons per run, each with a backend server");
DEFINE_int32(seconds, 10, "duration of fault injection in seconds");
DEFINE_int32(number, 92, "the processes use loopback addresses 127.NUMBER.*");
DEFINE_bool(plan, false, "print the faults of each run");

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage(
      "runs the fault-injection soak test with a range of seeds");
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  int FailedRuns = 0;

  for (std::uint32_t Seed = FLAGS_first; Seed < FLAGS_first + FLAGS_count;
       ++Seed) {
    hemlockspar::SoakRun::Options Options;
    Options.Seed = Seed;
    Options.Daemons = FLAGS_daemons;
    Options.Length = std::chrono::seconds(FLAGS_seconds);
    Options.LoopbackNetwork = FLAGS_number;
    if (FLAGS_plan) {
      for (const auto &Event :
           hemlockspar::makeSoakPlan(Seed, FLAGS_daemons, Options.Length)) {
        std::cout << Event.toText() << "\n";
      }
    }
    hemlockspar::SoakRun Run(Options);
    FailedRuns += Run.run() ? 0 : 1;
    std::cout << Run.summary() << "\n";
    for (const std::string &Violation : Run.violations()) {
      std::cout << "  " << Violation << "\n";
    }
    std::cout.flush();
  }
  return FailedRuns == 0 ? 0 : 1;
}
