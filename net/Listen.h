#pragma once

#include "net/Address.h"

#include <absl/status/status.h>

namespace hemlockspar {

/// Opens \p Acceptor, binds it to \p At and starts to listen.
absl::Status listenAt(boost::asio::ip::tcp::acceptor &Acceptor,
                      const Address &At);

} // namespace hemlockspar
