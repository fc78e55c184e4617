#pragma once

#include "mesh/KeyOwnershipManager.h"
#include "mesh/LocalServer.h"
#include "mesh/ReportCodec.h"
#include "net/HttpServer.h"

namespace hemlockspar {

/// Receives the reports of the local backend server and answers them with the
/// keys that it may hold.
class ReportHandler {
public:
  /// \p OnChange is called when the state of the backend server changes.
  ReportHandler(boost::asio::io_context &Io, const MeshView &View,
                LocalServer &Server, KeyOwnershipManager &Keeper,
                const ReportCodec &Codec, std::function<void()> OnChange);

  HttpResponse serve(HttpRequest &Request,
                     const boost::asio::yield_context &Yield);

private:
  HttpResponse onReport(const std::string &ServerId, const std::string &Body,
                        const boost::asio::yield_context &Yield);
  HttpResponse onLeave(const std::string &ServerId);
  std::optional<KeyGrants>
  waitForGrants(const ServerReport &Report, TimePoint ReceivedAt,
                const boost::asio::yield_context &Yield);
  HttpResponse acknowledge(const std::optional<KeyGrants> &Grants) const;

  boost::asio::io_context &Io;
  const MeshView &View;
  LocalServer &Server;
  KeyOwnershipManager &Keeper;
  const ReportCodec &Codec;
  std::function<void()> OnChange;
};

} // namespace hemlockspar
