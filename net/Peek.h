#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace hemlockspar {

/// What a look at a connection shows without reading from it.
enum class ConnectionSight { Quiet, DataWaiting, Closed };

/// Looks at \p Socket, which is non-blocking from then on.
ConnectionSight peek(boost::asio::ip::tcp::socket &Socket);

} // namespace hemlockspar
