#pragma once

#include "core/Json.h"

namespace hemlockspar {

/// Faults of a stand-in that tests change at run time, by PUT /faults with a
/// JSON object of "delay_ms", "lose_replies" and "down".
struct FaultSettings {
  /// Delay before each request.
  std::uint64_t DelayMs = 0;

  /// Number of following writes that take effect without a response.
  std::uint64_t LoseReplies = 0;

  /// Rejects every request with 503.
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
