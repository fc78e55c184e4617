#pragma once

#include <string>
#include <string_view>

namespace hemlockspar {

/// Severity of a log line.
enum class LogLevel { Debug, Info, Warning, Error };

/// One structured log line: an event name and key=value fields. The line is
/// written when the object is destroyed. Values with spaces or quotes are
/// quoted.
class LogLine {
public:
  /// Starts a line for \p Event. \p Subsystem must be a string literal, because
  /// loggers are cached by its address.
  LogLine(LogLevel Level, const char *Subsystem, std::string_view Event);
  ~LogLine();

  LogLine(const LogLine &) = delete;
  LogLine &operator=(const LogLine &) = delete;

  /// Appends a string field.
  LogLine &with(std::string_view Key, std::string_view Value);

  /// Appends a number field.
  LogLine &with(std::string_view Key, long long Value);

private:
  LogLevel Level;
  const char *Subsystem;
  bool Enabled;
  std::string Text;
};

/// Starts logging to standard output. An asynchronous appender writes the lines
/// on its own thread and, when its buffer is full, drops lines instead of
/// blocking. \p Level is one of debug, info, warn, error; any other text counts
/// as info.
void startLogging(const std::string &Level);

/// Changes the minimum level of the lines that are written from now on.
void setLogLevel(const std::string &Level);

/// Logs a failed precondition check. Used by the macros of ErrorMacros.h.
void logCheckFailure(const char *Condition, const char *Function,
                     const char *File, int Line);

} // namespace hemlockspar
