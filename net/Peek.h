#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace hemlockspar {

/// State of a connection, as seen without consuming input.
enum class ConnectionState { Idle, Readable, Closed };

/// Returns the state of \p Socket and makes the socket non-blocking.
ConnectionState peek(boost::asio::ip::tcp::socket &Socket);

/// Whether the peer has closed its side of the connection or reset it, also
/// while received data is unread, which peek cannot tell.
bool isClosedByPeer(boost::asio::ip::tcp::socket &Socket);

/// Whether the peer has closed its side of the connection without a reset,
/// after it had received all that was sent.
bool isClosedInOrder(boost::asio::ip::tcp::socket &Socket);

} // namespace hemlockspar
