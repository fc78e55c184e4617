#pragma once

#include "mesh/admission/RunTimes.h"

namespace hemlockspar {

/// The inputs of an admission decision, for logs.
struct AdmissionInputs {
  Duration ExpectedWait{};
  Duration MaxWait{};
  RunTime Run;

  /// Whether the queue of the rank is a standing queue.
  bool Standing = false;

  /// Whether the route is owed a slot ahead of more urgent ones.
  bool Owed = false;
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
};

} // namespace hemlockspar
