#include "net/DeadPeerDetection.h"

#include <netinet/tcp.h>

namespace hemlockspar {

namespace asio = boost::asio;

namespace {

template <int Name>
using TcpOption = asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

/// Unanswered probes after which a connection is lost.
constexpr int MaxUnansweredProbes = 1;

} // namespace

void enableDeadPeerDetection(asio::ip::tcp::socket &Socket,
                             const DeadPeerOptions &Options) {
  boost::system::error_code Ignored;

  if (Options.UnacknowledgedTimeout.count() > 0) {
    Socket.set_option(
        TcpOption<TCP_USER_TIMEOUT>(int(Options.UnacknowledgedTimeout.count())),
        Ignored);
  }
  if (Options.ProbeInterval.count() > 0) {
    int Seconds = int(Options.ProbeInterval.count());
    Socket.set_option(asio::socket_base::keep_alive(true), Ignored);
    Socket.set_option(TcpOption<TCP_KEEPIDLE>(Seconds), Ignored);
    Socket.set_option(TcpOption<TCP_KEEPINTVL>(Seconds), Ignored);
    Socket.set_option(TcpOption<TCP_KEEPCNT>(MaxUnansweredProbes), Ignored);
  }
}

} // namespace hemlockspar
