#pragma once

#include "daemon/ControlPlane.h"
#include "daemon/ResourceWriter.h"
#include "net/HttpServer.h"

namespace hemlockspar {

/// Resource API of a daemon for operators, its backend server and monitoring.
/// Runs on the control thread.
class ApiServer {
public:
  ApiServer(boost::asio::io_context &Io, const Settings &Config,
            Metrics &Counters, ControlPlane &Control);

  absl::Status start();

private:
  struct ParsedTarget {
    std::vector<std::string> Segments;
    std::optional<std::uint64_t> WatchVersion;
  };

  HttpResponse onRequest(HttpRequest &Request, CallerWatch &Watch,
                         const boost::asio::yield_context &Yield);
  HttpResponse onV1Request(HttpRequest &Request, const ParsedTarget &Path,
                           CallerWatch &Watch,
                           const boost::asio::yield_context &Yield);

  HttpResponse putAnnouncement(const HttpRequest &Request);
  HttpResponse listResources(const ParsedTarget &Path);
  HttpResponse getResource(ResourceKind Kind, const std::string &Name);
  HttpResponse getInForce(RowVersion Version,
                          const boost::asio::yield_context &Yield);
  HttpResponse getReadiness() const;

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
