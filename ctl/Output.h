#pragma once

#include <json/value.h>
#include <string>

namespace hemlockspar {

/// Output format of the command-line tool.
enum class OutputFormat { Table, Json };

/// Formats a resource, or a list of them, as a table or as JSON.
std::string render(const Json::Value &Value, OutputFormat Format);

} // namespace hemlockspar
