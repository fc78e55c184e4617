#pragma once

#include "daemon/Settings.h"

namespace hemlockspar {

/// Runs a daemon until it receives SIGTERM or SIGINT and has handed over its
/// slots. Returns the exit code: 0 after an orderly shutdown.
int runDaemon(const Settings &Config);

} // namespace hemlockspar
