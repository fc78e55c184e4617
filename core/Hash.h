#pragma once

#include <cstdint>
#include <string_view>

namespace hemlockspar {

/// A stable 64-bit hash (xxHash, XXH3) of \p Text; the same on every daemon.
std::uint64_t stableHash(std::string_view Text);

} // namespace hemlockspar
