#pragma once

#include "daemon/ControlPlane.h"
#include "daemon/Resources.h"
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
  HttpResponse put(ResourceKind Kind, const std::string &Name,
                   const HttpRequest &Request,
                   const boost::asio::yield_context &Yield);
  HttpResponse remove(ResourceKind Kind, const std::string &Name,
                      const HttpRequest &Request,
                      const boost::asio::yield_context &Yield);
  HttpResponse write(const Resource &Wanted, bool Delete,
                     const boost::asio::yield_context &Yield);

  HttpResponse explain(const std::string &Keyspace, const std::string &Key);
  HttpResponse inForce(RowVersion Version,
                       const boost::asio::yield_context &Yield);
  HttpResponse ready() const;

  Json::Value listDeclared(ResourceKind Kind) const;
  Json::Value listInstances() const;
  Json::Value listOwnership() const;

  TableTransaction transactionFor(const Resource &Wanted, bool Delete) const;
  CommitResult commit(const TableTransaction &Transaction,
                      const boost::asio::yield_context &Yield);
  CommitResult settle(const TableTransaction &Transaction,
                      const Resource &Wanted,
                      const boost::asio::yield_context &Yield);
  void waitForChange(RowVersion From, CallerWatch &Watch,
                     const boost::asio::yield_context &Yield);
  void sleep(std::chrono::milliseconds Span,
             const boost::asio::yield_context &Yield);
  const Resource *findDeclared(ResourceKind Kind, const std::string &Name,
                               Resource &Found) const;
  std::optional<HttpResponse> checkCondition(const HttpRequest &Request,
                                             RowVersion Current) const;
  std::string nextRequestId();

  boost::asio::io_context &Io;
  const Settings &Config;
  Metrics &Counters;
  ControlPlane &Control;
  HttpServer Server;
  std::uint64_t LastRequest = 0;
};

} // namespace hemlockspar
