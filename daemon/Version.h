#pragma once

namespace hemlockspar {

/// Product version reported by the programs and the API.
inline constexpr char ProductVersion[] = "0.1.0";

} // namespace hemlockspar
