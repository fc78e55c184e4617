#pragma once

#include "mesh/MeshSettings.h"
#include "mesh/ReportCodec.h"
#include "mesh/RequestHeaderCodec.h"
#include "mesh/Store.h"
#include "mesh/StoreTransport.h"

#include <memory>

namespace hemlockspar {

/// How the surroundings speak: the one place in which a platform is chosen.
struct MeshAdapters {
  std::unique_ptr<RequestHeaderCodec> Requests;
  std::unique_ptr<ReportCodec> Reports;
  std::unique_ptr<ConfigurationCodec> Configurations;

  /// Makes the store's client over a transport.
  std::function<std::unique_ptr<Store>(boost::asio::io_context &Io,
                                       StoreTransport &Transport)>
      MakeStore;

  /// Path at which the platform asks for readiness.
  std::string ReadinessPath;
};

/// Runs a daemon of a mesh until it is told to stop. Returns the exit code: 0
/// after an orderly stop. \p SettingsPath is read again on SIGHUP.
int runMeshDaemon(const MeshSettings &Config, const std::string &SettingsPath,
                  const MeshAdapters &Adapters);

} // namespace hemlockspar
