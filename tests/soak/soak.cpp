#include "tests/soak/SoakRun.h"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_uint32(first, 1, "first seed");
DEFINE_uint32(count, 1, "how many seeds, one after the other");
DEFINE_int32(daemons, 6, "daemons of each run, each with a backend server");
DEFINE_int32(seconds, 10, "time in which faults begin, in seconds");
DEFINE_int32(number, 92, "loopback addresses 127.NUMBER.* are used");
DEFINE_bool(plan, false, "print the faults of each run");

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage("plays seeds of the fault soak");
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  int Broken = 0;

  for (std::uint32_t Seed = FLAGS_first; Seed < FLAGS_first + FLAGS_count;
       ++Seed) {
    hemlockspar::SoakRun::Terms Terms;
    Terms.Seed = Seed;
    Terms.Daemons = FLAGS_daemons;
    Terms.Length = std::chrono::seconds(FLAGS_seconds);
    Terms.Number = FLAGS_number;
    if (FLAGS_plan) {
      for (const auto &Event :
           hemlockspar::makeSoakPlan(Seed, FLAGS_daemons, Terms.Length)) {
        std::cout << Event.toText() << "\n";
      }
    }
    hemlockspar::SoakRun Run(Terms);
    Broken += Run.run() ? 0 : 1;
    std::cout << Run.summary() << "\n";
    for (const std::string &Complaint : Run.complaints()) {
      std::cout << "  " << Complaint << "\n";
    }
    std::cout.flush();
  }
  return Broken == 0 ? 0 : 1;
}
