#pragma once

#include "net/Http.h"

#include <array>
#include <span>
#include <string>

namespace hemlockspar {

/// How a stand-in malforms the heads of its responses.
enum class HeadFault {
  None,
  /// The status is 000.
  ZeroStatus,
  /// The name of a field contains a blank.
  BlankInName,
  /// The name of a field contains a control character.
  ControlInName,
  /// The name of a field begins with a blank.
  BlankBeforeName,
};

/// All faults, for tests that try each.
inline constexpr std::array HeadFaults = {
    HeadFault::ZeroStatus, HeadFault::BlankInName, HeadFault::ControlInName,
    HeadFault::BlankBeforeName};

/// Name of \p Fault in the messages that set faults.
const char *nameOf(HeadFault Fault);

/// The fault named \p Name; None if there is none of that name.
HeadFault headFaultOf(const std::string &Name);

/// Malforms the head of \p Response.
void malformHead(HttpResponse &Response, HeadFault Fault);

/// Malforms the head of the response that \p Bytes begin with; other bytes stay
/// as they are.
void malformHead(std::span<char> Bytes, HeadFault Fault);

} // namespace hemlockspar
