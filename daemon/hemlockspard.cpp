#include "daemon/Daemon.h"
#include "daemon/Version.h"
#include "platform/PlatformAdapters.h"

#include "core/Log.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

DEFINE_string(settings, "",
              "path of the YAML settings file; when empty, the environment "
              "variable HEMLOCKSPAR_SETTINGS names it");
DEFINE_bool(check_settings, false, "check the settings file and exit");

namespace {

std::string settingsPath() {
  const char *Named = std::getenv("HEMLOCKSPAR_SETTINGS");
  return FLAGS_settings.empty() && Named ? Named : FLAGS_settings;
}

int reportInvalidSettings(const absl::Status &Status) {
  std::cerr << Status.message() << "\n";
  return 2;
}

int reportValidSettings(const std::string &Path) {
  std::cout << Path << ": settings are valid\n";
  return 0;
}

/// Serves key spaces declared through the resource API.
int runKeyspaces(const std::string &Text, const std::string &Path) {
  auto Config = hemlockspar::parseSettings(Text, Path);
  if (!Config.ok()) {
    return reportInvalidSettings(Config.status());
  }
  if (FLAGS_check_settings) {
    return reportValidSettings(Path);
  }
  hemlockspar::startLogging(Config->LogLevel);
  return hemlockspar::runDaemon(*Config);
}

/// Serves routes and services declared in the platform's store.
int runMesh(const std::string &Text, const std::string &Path) {
  auto Config = hemlockspar::parseMeshSettings(Text, Path);
  if (!Config.ok()) {
    return reportInvalidSettings(Config.status());
  }
  if (FLAGS_check_settings) {
    return reportValidSettings(Path);
  }
  hemlockspar::startLogging(Config->LogLevel);
  return hemlockspar::runMeshDaemon(*Config, Path,
                                    hemlockspar::makePlatformAdapters());
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  // SIGHUP announces changed settings. It may arrive before they are first read
  // and must not end the process then.
  std::signal(SIGHUP, SIG_IGN);

  gflags::SetUsageMessage("routes requests to the owners of their keys\n"
                          "  hemlockspard --settings FILE [--check_settings]");
  gflags::SetVersionString(hemlockspar::ProductVersion);
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);

  std::string Path = settingsPath();
  std::ifstream File(Path);
  if (!File) {
    return reportInvalidSettings(
        absl::NotFoundError(Path + ": cannot be read"));
  }
  std::stringstream Text;
  Text << File.rdbuf();
  return hemlockspar::isMeshSettings(Text.str())
             ? runMesh(Text.str(), Path)
             : runKeyspaces(Text.str(), Path);
}
