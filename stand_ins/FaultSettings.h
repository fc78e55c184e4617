#pragma once

#include "core/Json.h"
#include "stand_ins/HeadFault.h"

namespace hemlockspar {

/// Faults of a stand-in that tests change at run time, by PUT /faults with a
/// JSON object of "delay_ms", "lose_replies", "down" and "head".
struct FaultSettings {
  /// Delay before each request.
  std::uint64_t DelayMs = 0;

  /// Number of following writes that take effect without a response.
  std::uint64_t LoseReplies = 0;

  /// Rejects every request with 503.
  bool Down = false;

  /// Malforms the heads of responses to requests.
  HeadFault Head = HeadFault::None;

  void update(const Json::Value &Fields) {
    this->DelayMs = getUnsigned(Fields, "delay_ms", this->DelayMs);
    this->LoseReplies = getUnsigned(Fields, "lose_replies", this->LoseReplies);
    if (Fields["down"].isBool()) {
      this->Down = Fields["down"].asBool();
    }
    if (Fields["head"].isString()) {
      this->Head = headFaultOf(Fields["head"].asString());
    }
  }
};

} // namespace hemlockspar
