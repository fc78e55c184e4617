#pragma once

#include "daemon/Settings.h"

namespace hemlockspar {

/// Runs a daemon until it is told to stop by SIGTERM or SIGINT and has handed
/// over what it owned. Returns the exit code: 0 after an orderly stop.
int runDaemon(const Settings &Config);

} // namespace hemlockspar
