#pragma once

#include "mesh/ViewCodec.h"
#include "net/HttpClient.h"

namespace hemlockspar {

/// Brings the view up to what other daemons know. The store's answers have a
/// price each and every change would wake every daemon; so a few daemons of a
/// region await changes there, and the others ask one another: each answer
/// between daemons says how far its sender's view goes. Lives as long as the
/// process; all on one thread.
class PeerViewSync {
public:
  /// Calls leave from \p LocalHost.
  PeerViewSync(boost::asio::io_context &Io, MeshView &View,
               const std::string &LocalHost);

  /// The daemon at \p Peer has told how far its view goes: asks it for what is
  /// missing here.
  void onPeerVersions(const ViewVersions &Theirs, const Address &Peer);

  /// Asks the daemon at \p Peer for whatever it knows beyond this view.
  void pullFrom(const Address &Peer);

  /// Tells the daemon at \p Peer of \p Row, which it needs at once.
  void pushTo(const TableRow &Row, const Address &Peer);

  /// Answers another daemon's question; nothing when \p Request is not about
  /// views.
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
