#pragma once

namespace hemlockspar {

/// Version of the product, as the programs and the API tell it.
inline constexpr char ProductVersion[] = "0.1.0";

} // namespace hemlockspar
