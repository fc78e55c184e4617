#pragma once

#include <json/value.h>
#include <optional>
#include <string>

namespace hemlockspar {

/// Writes \p Value on one line.
std::string writeJson(const Json::Value &Value);

/// Writes \p Value indented, for people.
std::string writeJsonIndented(const Json::Value &Value);

/// Reads strict JSON: no comments, no duplicate keys, nothing after the
/// value. On failure returns nothing and, where given, sets \p Error.
std::optional<Json::Value> readJson(const std::string &Text,
                                    std::string *Error = nullptr);

/// The unsigned member \p Name of \p Object, or \p Default when it is absent
/// or of another type.
std::uint64_t getUnsigned(const Json::Value &Object, const char *Name,
                          std::uint64_t Default = 0);

/// The text member \p Name of \p Object, or the empty text.
std::string getString(const Json::Value &Object, const char *Name);

} // namespace hemlockspar
