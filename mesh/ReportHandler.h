#pragma once

#include "mesh/DepartureClient.h"
#include "mesh/KeyOwnershipManager.h"
#include "mesh/LocalServer.h"
#include "mesh/ReportCodec.h"
#include "net/HttpServer.h"

namespace hemlockspar {

/// Receives the reports of the local backend server and answers them with the
/// keys that it may hold. A departure is acknowledged only once it would
/// outlast this process: when it is in the store or at enough other daemons.
class ReportHandler {
public:
  /// \p OnChange is called when the state of the backend server of \p Instance
  /// changes.
  ReportHandler(boost::asio::io_context &Io, const InstanceId &Instance,
                const MeshView &View, LocalServer &Server,
                KeyOwnershipManager &Keeper, DepartureClient &Departures,
                const ReportCodec &Codec, std::function<void()> OnChange);

  HttpResponse serve(HttpRequest &Request,
                     const boost::asio::yield_context &Yield);

private:
  HttpResponse onReport(const std::string &ServerId, const std::string &Body,
                        const boost::asio::yield_context &Yield);
  HttpResponse onLeave(const std::string &ServerId,
                       const boost::asio::yield_context &Yield);
  bool waitForRecovery(TimePoint ReceivedAt,
                       const boost::asio::yield_context &Yield);
  bool keepDeparture(TimePoint ReceivedAt,
                     const boost::asio::yield_context &Yield);
  bool isKept(const ServerIncarnation &Left) const;
  std::optional<KeyGrants>
  waitForGrants(const ServerReport &Report, TimePoint ReceivedAt,
                const boost::asio::yield_context &Yield);
  HttpResponse acknowledge(const std::optional<KeyGrants> &Grants) const;

  boost::asio::io_context &Io;
  InstanceId Instance;
  const MeshView &View;
  LocalServer &Server;
  KeyOwnershipManager &Keeper;
  DepartureClient &Departures;
  const ReportCodec &Codec;
  std::function<void()> OnChange;
};

} // namespace hemlockspar
