#include "net/Silence.h"

#include <netinet/tcp.h>

namespace hemlockspar {

namespace asio = boost::asio;

namespace {

template <int Name>
using TcpOption = asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

/// Probes that may go unanswered before a connection is lost.
constexpr int UnansweredProbes = 1;

} // namespace

void watchForSilence(asio::ip::tcp::socket &Socket,
                     const SilenceChecks &Checks) {
  boost::system::error_code Ignored;

  if (Checks.Unacknowledged.count() > 0) {
    Socket.set_option(
        TcpOption<TCP_USER_TIMEOUT>(int(Checks.Unacknowledged.count())),
        Ignored);
  }
  if (Checks.ProbeAfter.count() > 0) {
    int Seconds = int(Checks.ProbeAfter.count());
    Socket.set_option(asio::socket_base::keep_alive(true), Ignored);
    Socket.set_option(TcpOption<TCP_KEEPIDLE>(Seconds), Ignored);
    Socket.set_option(TcpOption<TCP_KEEPINTVL>(Seconds), Ignored);
    Socket.set_option(TcpOption<TCP_KEEPCNT>(UnansweredProbes), Ignored);
  }
}

} // namespace hemlockspar
