#pragma once

#include "core/Json.h"

namespace hemlockspar {

/// Faults of a stand-in that tests turn on and off while it runs, by
/// PUT /faults with a JSON object of the fields named here.
struct FaultSettings {
  /// Each request waits this long first.
  std::uint64_t DelayMs = 0;

  /// So many of the next writes take effect but are never answered.
  std::uint64_t LoseReplies = 0;

  /// Every request is refused with 503.
  bool Down = false;

  void update(const Json::Value &Fields) {
    this->DelayMs = getUnsigned(Fields, "delay_ms", this->DelayMs);
    this->LoseReplies = getUnsigned(Fields, "lose_replies", this->LoseReplies);
    if (Fields["down"].isBool()) {
      this->Down = Fields["down"].asBool();
    }
  }
};

} // namespace hemlockspar
