#pragma once

#include "mesh/DepartureRecords.h"
#include "mesh/MeshSettings.h"
#include "mesh/MeshView.h"
#include "net/HttpClient.h"

#include <set>

namespace hemlockspar {

/// Keeps departures of the local backend server at a few other daemons, its
/// witnesses, so that they outlive this process also while the store is away;
/// and keeps those of others. Lives as long as the process; all on one thread.
class DepartureClient {
public:
  /// The newest departure that the witnesses know; nothing when they know none.
  using RecoverCallback =
      std::function<void(const std::optional<ServerIncarnation> &Left)>;

  DepartureClient(boost::asio::io_context &Io, const MeshView &View,
                  const MeshSettings &Config);

  /// Tells the witnesses that \p Left, the local backend server, has departed.
  /// Called again, it tells those that have not confirmed.
  void announce(const ServerIncarnation &Left);

  /// Whether enough witnesses have confirmed the departure of \p Left.
  bool isConfirmed(const ServerIncarnation &Left) const;

  /// Asks the witnesses for departures that an earlier process announced. Gives
  /// up after a few seconds when too few respond.
  void recover(RecoverCallback OnDone);

  /// Handles another daemon's announcement or query; nothing when \p Request is
  /// neither.
  std::optional<HttpResponse> handle(const HttpRequest &Request);

private:
  struct Recovery;

  void announceTo(const InstanceId &Witness, const Address &Peer);
  void query(const std::shared_ptr<Recovery> &State, const InstanceId &Witness,
             const boost::asio::yield_context &Yield);
  ExchangeResult call(const Address &Peer, HttpRequest &Request,
                      const boost::asio::yield_context &Yield);

  boost::asio::io_context &Io;
  const MeshView &View;
  const MeshSettings &Config;
  HttpClient Client;
  DepartureRecords Records;

  /// The departure that is being announced, and its progress.
  std::optional<ServerIncarnation> Announced;
  std::set<InstanceId> Confirmed;
  TimePoint NextAnnouncementAt;
};

} // namespace hemlockspar
