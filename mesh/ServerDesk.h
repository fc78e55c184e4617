#pragma once

#include "mesh/KeyOwnershipManager.h"
#include "mesh/LocalServer.h"
#include "mesh/ReportCodec.h"
#include "net/HttpServer.h"

namespace hemlockspar {

/// Takes the reports of the backend server beside this daemon and answers them
/// with the keys that it may hold.
class ServerDesk {
public:
  /// \p OnChange is called when what is known of the backend server changed.
  ServerDesk(boost::asio::io_context &Io, const MeshView &View,
             LocalServer &Server, KeyOwnershipManager &Keeper,
             const ReportCodec &Codec, std::function<void()> OnChange);

  HttpResponse serve(HttpRequest &Request,
                     const boost::asio::yield_context &Yield);

private:
  HttpResponse onReport(const std::string &ServerId, const std::string &Body,
                        const boost::asio::yield_context &Yield);
  HttpResponse onLeave(const std::string &ServerId);
  std::optional<KeyGrants> grantFor(const ServerReport &Report,
                                    TimePoint ReceivedAt,
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
