#pragma once

#include "mesh/ViewCodec.h"
#include "net/HttpClient.h"

namespace hemlockspar {

/// Brings the view up to date from other daemons. The store charges for each
/// response, and following it directly would wake every daemon at every change.
/// So a few daemons of a region follow the store there, and the others fetch
/// changes from one another: each response between daemons states how far its
/// sender's view is complete. Lives as long as the process; all on one thread.
class PeerViewSync {
public:
  /// Connections are opened from \p LocalHost.
  PeerViewSync(boost::asio::io_context &Io, MeshView &View,
               const std::string &LocalHost, const MemoryBudgetPtr &Memory);

  /// The daemon at \p Peer has stated how far its view is complete: requests
  /// the rows that are missing here.
  void onPeerVersions(const ViewVersions &Theirs, const Address &Peer);

  /// Requests from the daemon at \p Peer all rows that it knows beyond this
  /// view.
  void pullFrom(const Address &Peer);

  /// Sends \p Row, which is needed there at once, to the daemon at \p Peer.
  void pushTo(const TableRow &Row, const Address &Peer);

  /// Handles another daemon's pull or push request; nothing when \p Request is
  /// neither.
  std::optional<HttpResponse> handle(const HttpRequest &Request);

private:
  void applyRows(const std::string &Text);

  boost::asio::io_context &Io;
  MeshView &View;
  HttpClient Client;
  bool PullPending = false;
  TimePoint NextPullAt;
  TimePoint NextOwnersPullAt;
};

} // namespace hemlockspar
