#include "core/Log.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace hemlockspar {

namespace {

constexpr int LogBufferLines = 4096;

log4cxx::LevelPtr toLog4cxxLevel(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return log4cxx::Level::getDebug();
  case LogLevel::Info:
    return log4cxx::Level::getInfo();
  case LogLevel::Warning:
    return log4cxx::Level::getWarn();
  case LogLevel::Error:
    return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

log4cxx::LoggerPtr loggerFor(const char *Subsystem) {
  thread_local const char *LastSubsystem = nullptr;
  thread_local log4cxx::LoggerPtr LastLogger;

  if (Subsystem != LastSubsystem) {
    LastLogger = log4cxx::Logger::getLogger(Subsystem);
    LastSubsystem = Subsystem;
  }

  return LastLogger;
}

bool needsQuotes(std::string_view Value) {
  return Value.empty() ||
         Value.find_first_of(" \"=\n\r\t") != std::string_view::npos;
}

} // namespace

LogLine::LogLine(LogLevel Level, const char *Subsystem, std::string_view Event)
    : Level(Level), Subsystem(Subsystem),
      Enabled(loggerFor(Subsystem)->isEnabledFor(toLog4cxxLevel(Level))) {
  if (this->Enabled) {
    this->Text.reserve(160);
    this->Text.append("event=").append(Event);
  }
}

LogLine::~LogLine() {
  if (!this->Enabled) {
    return;
  }

  loggerFor(this->Subsystem)
      ->forcedLog(toLog4cxxLevel(this->Level), this->Text,
                  log4cxx::spi::LocationInfo::getLocationUnavailable());
}

LogLine &LogLine::with(std::string_view Key, std::string_view Value) {
  if (!this->Enabled) {
    return *this;
  }

  this->Text.append(" ").append(Key).append("=");

  if (!needsQuotes(Value)) {
    this->Text.append(Value);
    return *this;
  }

  this->Text.push_back('"');

  for (char Character : Value) {
    bool IsControl = static_cast<unsigned char>(Character) < 0x20;
    if (Character == '"' || Character == '\\') {
      this->Text.push_back('\\');
    }
    this->Text.push_back(IsControl ? ' ' : Character);
  }

  this->Text.push_back('"');
  return *this;
}

LogLine &LogLine::with(std::string_view Key, long long Value) {
  return this->Enabled ? this->with(Key, std::to_string(Value)) : *this;
}

void startLogging(const std::string &Level) {
  auto Layout = std::make_shared<log4cxx::PatternLayout>(
      "%d{yyyy-MM-ddTHH:mm:ss.SSSZ} %-5p %c %m%n");
  auto Console = std::make_shared<log4cxx::ConsoleAppender>(
      Layout, log4cxx::ConsoleAppender::getSystemOut());

  auto Async = std::make_shared<log4cxx::AsyncAppender>();
  Async->setBufferSize(LogBufferLines);
  Async->setBlocking(false);
  Async->addAppender(Console);

  auto Root = log4cxx::Logger::getRootLogger();
  Root->addAppender(Async);
  Root->setLevel(log4cxx::Level::toLevel(Level, log4cxx::Level::getInfo()));
}

void setLogLevel(const std::string &Level) {
  log4cxx::Logger::getRootLogger()->setLevel(
      log4cxx::Level::toLevel(Level, log4cxx::Level::getInfo()));
}

void logCheckFailure(const char *Condition, const char *Function,
                     const char *File, int Line) {
  LogLine(LogLevel::Error, "check", "check_failed")
      .with("condition", Condition)
      .with("function", Function)
      .with("file", File)
      .with("line", Line);
}

} // namespace hemlockspar
