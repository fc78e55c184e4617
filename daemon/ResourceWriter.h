#pragma once

#include "daemon/ControlPlane.h"
#include "daemon/Resources.h"
#include "net/Http.h"

namespace hemlockspar {

/// Writes declared resources for operators: validates the declaration and the
/// version it is based on, commits one table transaction, and responds once the
/// outcome is known or could not be determined in time. Runs on the control
/// thread.
class ResourceWriter {
public:
  ResourceWriter(boost::asio::io_context &Io, ControlPlane &Control);

  HttpResponse put(ResourceKind Kind, const std::string &Name,
                   const HttpRequest &Request,
                   const boost::asio::yield_context &Yield);
  HttpResponse remove(ResourceKind Kind, const std::string &Name,
                      const HttpRequest &Request,
                      const boost::asio::yield_context &Yield);

private:
  HttpResponse write(const Resource &Wanted, bool Delete,
                     const boost::asio::yield_context &Yield);
  TableTransaction transactionFor(const Resource &Wanted, bool Delete) const;
  CommitResult commit(const TableTransaction &Transaction,
                      const boost::asio::yield_context &Yield);

  /// Determines whether a write took effect whose response was lost.
  CommitResult resolveUnknownOutcome(const TableTransaction &Transaction,
                                     const Resource &Wanted,
                                     const boost::asio::yield_context &Yield);
  std::optional<HttpResponse> checkCondition(const HttpRequest &Request,
                                             RowVersion Current) const;
  std::string nextRequestId();

  boost::asio::io_context &Io;
  ControlPlane &Control;
  std::uint64_t LastRequestNumber = 0;
};

} // namespace hemlockspar
