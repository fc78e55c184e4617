#include "stand_ins/HeadFault.h"

#include "core/EnumNames.h"

#include <algorithm>

namespace hemlockspar {

namespace {

constexpr std::array<const char *, 5> FaultNames = {
    "none", "zero_status", "blank_in_name", "control_in_name",
    "blank_before_name"};

constexpr std::string_view StatusLineStart = "HTTP/1.1 ";
constexpr std::string_view ZeroStatus = "000";

/// Returns the name of the added field.
const char *malformedNameFor(HeadFault Fault) {
  switch (Fault) {
  case HeadFault::BlankInName:
    return "Malformed Name";
  case HeadFault::ControlInName:
    return "Malformed\x01Name";
  default:
    return " Malformed-Name";
  }
}

} // namespace

const char *nameOf(HeadFault Fault) { return enumName(FaultNames, Fault); }

HeadFault headFaultOf(const std::string &Name) {
  return enumFromName<HeadFault>(FaultNames, Name).value_or(HeadFault::None);
}

void malformHead(HttpResponse &Response, HeadFault Fault) {
  switch (Fault) {
  case HeadFault::None:
    return;
  case HeadFault::ZeroStatus:
    Response.result(0U);
    return;
  case HeadFault::BlankInName:
  case HeadFault::ControlInName:
  case HeadFault::BlankBeforeName:
    Response.set(malformedNameFor(Fault), "x");
    return;
  }
}

void malformHead(std::span<char> Bytes, HeadFault Fault) {
  std::string_view Text(Bytes.data(), Bytes.size());
  std::size_t FirstLine = Text.find("\r\n");
  std::size_t SecondLine =
      FirstLine == Text.npos ? Text.npos : Text.find("\r\n", FirstLine + 2);
  bool HasFields = Text.starts_with(StatusLineStart) &&
                   SecondLine != Text.npos && SecondLine + 4 <= Text.size();
  if (!HasFields) {
    return;
  }

  std::size_t Field = SecondLine + 2;
  switch (Fault) {
  case HeadFault::None:
    return;
  case HeadFault::ZeroStatus:
    std::ranges::copy(ZeroStatus, Bytes.begin() + StatusLineStart.size());
    return;
  case HeadFault::BlankInName:
    Bytes[Field + 1] = ' ';
    return;
  case HeadFault::ControlInName:
    Bytes[Field + 1] = '\x01';
    return;
  case HeadFault::BlankBeforeName:
    Bytes[Field] = ' ';
    return;
  }
}

} // namespace hemlockspar
