#include "daemon/Daemon.h"
#include "daemon/Version.h"

#include "core/Log.h"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(settings, "", "path of the YAML settings file");
DEFINE_bool(check_settings, false, "check the settings file and exit");

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage("routes requests to the owners of their keys\n"
                          "  hemlockspard --settings FILE [--check_settings]");
  gflags::SetVersionString(hemlockspar::ProductVersion);
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);

  auto Config = hemlockspar::readSettings(FLAGS_settings);
  if (!Config.ok()) {
    std::cerr << Config.status().message() << "\n";
    return 2;
  }
  if (FLAGS_check_settings) {
    std::cout << FLAGS_settings << ": sound\n";
    return 0;
  }

  hemlockspar::startLogging(Config->LogLevel);
  return hemlockspar::runDaemon(*Config);
}
