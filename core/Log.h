#pragma once

#include <string>
#include <string_view>

namespace hemlockspar {

/// How urgent a log line is.
enum class LogLevel { Debug, Info, Warning, Error };

/// One structured log line: an event name and key=value fields. The line is
/// written when the object is destroyed. Values with spaces or quotes are
/// quoted.
class LogLine {
public:
  /// Starts a line of \p Event for the named \p Subsystem.
  LogLine(LogLevel Level, const char *Subsystem, std::string_view Event);
  ~LogLine();

  LogLine(const LogLine &) = delete;
  LogLine &operator=(const LogLine &) = delete;

  /// Appends a text field.
  LogLine &with(std::string_view Key, std::string_view Value);

  /// Appends a number field.
  LogLine &with(std::string_view Key, long long Value);

private:
  LogLevel Level;
  const char *Subsystem;
  bool Enabled;
  std::string Text;
};

/// Sends log lines to standard output through an asynchronous appender, which
/// writes on a thread of its own and drops lines rather than blocks when its
/// buffer is full. \p Level is one of debug, info, warn, error.
void startLogging(const std::string &Level);

/// Changes the level of lines that are written from now on.
void setLogLevel(const std::string &Level);

/// Logs a failed precondition check. Used by the macros of ErrorMacros.h.
void logCheckFailure(const char *Condition, const char *Function,
                     const char *File, int Line);

} // namespace hemlockspar
