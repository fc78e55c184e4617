#pragma once

#include <json/value.h>
#include <string>

namespace hemlockspar {

/// How the command-line tool prints.
enum class OutputFormat { Table, Json };

/// Writes a resource or a list of them for people or for programs.
std::string render(const Json::Value &Value, OutputFormat Format);

} // namespace hemlockspar
