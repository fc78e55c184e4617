#include "net/Peek.h"

#include <poll.h>

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

} // namespace hemlockspar
