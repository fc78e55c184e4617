#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>

namespace hemlockspar {

/// An IP address in numbers and a port.
struct Address {
  std::string Host;
  std::uint16_t Port = 0;

  auto operator<=>(const Address &) const = default;

  std::string toText() const;

  /// The library's endpoint; \p Error is set when Host is no IP address.
  boost::asio::ip::tcp::endpoint
  toEndpoint(boost::system::error_code &Error) const;

  /// Reads "host:port"; false on another shape.
  static bool fromText(const std::string &Text, Address &Result);
};

/// Lets \p Socket, not yet open, leave from \p LocalHost; nothing is done when
/// that is empty.
void bindLocalAddress(boost::asio::ip::tcp::socket &Socket,
                      const std::string &LocalHost,
                      boost::system::error_code &Error);

} // namespace hemlockspar
