#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace hemlockspar {

/// What a look at a connection shows without reading from it.
enum class ConnectionState { Idle, Readable, Closed };

/// Looks at \p Socket, which is non-blocking from then on.
ConnectionState peek(boost::asio::ip::tcp::socket &Socket);

} // namespace hemlockspar
