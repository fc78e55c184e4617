#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace hemlockspar {

/// The name of \p Value from a table with one name for each enumerator, in the
/// order of declaration; "invalid" for a value out of range.
template <typename Enum, std::size_t Count>
const char *enumName(const std::array<const char *, Count> &Names, Enum Value) {
  auto Index = static_cast<std::size_t>(Value);
  return Index < Count ? Names[Index] : "invalid";
}

/// The enumerator with the given name; nullopt if there is none.
template <typename Enum, std::size_t Count>
std::optional<Enum> enumFromName(const std::array<const char *, Count> &Names,
                                 std::string_view Name) {
  for (std::size_t Index = 0; Index < Count; ++Index) {
    if (Name == Names[Index]) {
      return static_cast<Enum>(Index);
    }
  }
  return std::nullopt;
}

} // namespace hemlockspar
