#pragma once

#include "daemon/ControlPlane.h"
#include "daemon/ResourceWriter.h"
#include "net/HttpServer.h"

namespace hemlockspar {

/// The resource API of a daemon, for operators, the backend server beside it
/// and monitoring. Runs on the control thread.
class ApiServer {
public:
  ApiServer(boost::asio::io_context &Io, const Settings &Config,
            Metrics &Counters, ControlPlane &Control);

  absl::Status start();

private:
  struct Target {
    std::vector<std::string> Segments;
    std::optional<std::uint64_t> WatchFrom;
  };

  HttpResponse onRequest(HttpRequest &Request, CallerWatch &Watch,
                         const boost::asio::yield_context &Yield);
  HttpResponse onVersioned(HttpRequest &Request, const Target &Path,
                           CallerWatch &Watch,
                           const boost::asio::yield_context &Yield);

  HttpResponse announce(const HttpRequest &Request);
  HttpResponse list(const Target &Path);
  HttpResponse get(ResourceKind Kind, const std::string &Name);
  HttpResponse inForce(RowVersion Version,
                       const boost::asio::yield_context &Yield);
  HttpResponse ready() const;

  void waitForChange(RowVersion From, CallerWatch &Watch,
                     const boost::asio::yield_context &Yield);

  boost::asio::io_context &Io;
  const Settings &Config;
  Metrics &Counters;
  ControlPlane &Control;
  ResourceWriter Writer;
  HttpServer Server;
};

} // namespace hemlockspar
