#include "net/Peek.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>

namespace hemlockspar {

namespace asio = boost::asio;

ConnectionState peek(asio::ip::tcp::socket &Socket) {
  char Byte = 0;
  boost::system::error_code Error;
  Socket.non_blocking(true, Error);
  Socket.receive(asio::buffer(&Byte, 1), asio::socket_base::message_peek,
                 Error);

  if (Error == asio::error::would_block) {
    return ConnectionState::Idle;
  }
  return Error ? ConnectionState::Closed : ConnectionState::Readable;
}

bool isClosedByPeer(asio::ip::tcp::socket &Socket) {
  if (!Socket.is_open()) {
    return true;
  }
  pollfd Poll{Socket.native_handle(), POLLRDHUP, 0};
  return ::poll(&Poll, 1, 0) == 1;
}

bool isClosedInOrder(asio::ip::tcp::socket &Socket) {
  tcp_info Info{};
  socklen_t Size = sizeof(Info);
  int UnacknowledgedBytes = 0;
  bool IsKnown =
      ::getsockopt(Socket.native_handle(), IPPROTO_TCP, TCP_INFO, &Info,
                   &Size) == 0 &&
      ::ioctl(Socket.native_handle(), SIOCOUTQ, &UnacknowledgedBytes) == 0;

  // A reset takes the connection out of this state, also one that was reported
  // to another operation or arrived after the end.
  return IsKnown && Info.tcpi_state == TCP_CLOSE_WAIT &&
         UnacknowledgedBytes == 0;
}

} // namespace hemlockspar
