#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace hemlockspar {

/// Name of \p Value in a table that has one name for each enumerator, in
/// order.
template <typename Enum, std::size_t Count>
const char *enumName(const std::array<const char *, Count> &Names, Enum Value) {
  auto Index = static_cast<std::size_t>(Value);
  return Index < Count ? Names[Index] : "invalid";
}

/// The enumerator with the given name; nothing when there is none.
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
