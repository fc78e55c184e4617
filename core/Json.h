#pragma once

#include <json/value.h>
#include <optional>
#include <string>

namespace hemlockspar {

/// Serialises \p Value on one line.
std::string writeJson(const Json::Value &Value);

/// Serialises \p Value with indentation, for human readers.
std::string writeJsonIndented(const Json::Value &Value);

/// Parses strict JSON: no comments, duplicate keys or trailing text. On failure
/// returns nullopt and, if \p Error is not null, stores the message there.
std::optional<Json::Value> readJson(const std::string &Text,
                                    std::string *Error = nullptr);

/// The unsigned member \p Name of \p Object, or \p Default if it is absent or
/// has another type.
std::uint64_t getUnsigned(const Json::Value &Object, const char *Name,
                          std::uint64_t Default = 0);

/// The string member \p Name of \p Object, or an empty string if it is absent
/// or has another type.
std::string getString(const Json::Value &Object, const char *Name);

} // namespace hemlockspar
