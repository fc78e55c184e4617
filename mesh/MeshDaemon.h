#pragma once

#include "mesh/GrantCodec.h"
#include "mesh/MeshSettings.h"
#include "mesh/ReportCodec.h"
#include "mesh/RequestHeaderCodec.h"
#include "mesh/Store.h"
#include "mesh/StoreTransport.h"

#include <memory>

namespace hemlockspar {

/// Codecs and clients of the platform: the only place where a platform is
/// selected.
struct MeshAdapters {
  std::unique_ptr<RequestHeaderCodec> Requests;
  std::unique_ptr<ReportCodec> Reports;
  std::unique_ptr<GrantCodec> Grants;
  std::unique_ptr<ConfigurationCodec> Configurations;

  /// Creates the client of the store on top of a transport.
  std::function<std::unique_ptr<Store>(boost::asio::io_context &Io,
                                       StoreTransport &Transport)>
      MakeStore;

  /// Path of the platform's readiness check.
  std::string ReadinessPath;
};

/// Runs a daemon of a mesh until it is told to stop. Returns the exit code: 0
/// after an orderly shutdown. \p SettingsPath is read again on SIGHUP.
int runMeshDaemon(const MeshSettings &Config, const std::string &SettingsPath,
                  const MeshAdapters &Adapters);

} // namespace hemlockspar
