#include "core/Hash.h"

#include <xxhash.h>

namespace hemlockspar {

std::uint64_t stableHash(std::string_view Text) {
  return XXH3_64bits(Text.data(), Text.size());
}

} // namespace hemlockspar
