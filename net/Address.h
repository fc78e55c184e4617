#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>

namespace hemlockspar {

/// A numeric IP address and a port.
struct Address {
  std::string Host;
  std::uint16_t Port = 0;

  auto operator<=>(const Address &) const = default;

  std::string toText() const;

  /// Converts to an Asio endpoint; \p Error is set when Host is not an IP
  /// address.
  boost::asio::ip::tcp::endpoint
  toEndpoint(boost::system::error_code &Error) const;

  /// Parses "host:port"; returns false for any other format.
  static bool fromText(const std::string &Text, Address &Result);
};

/// Opens \p Socket and binds it to the source address \p LocalHost; does
/// nothing when that is empty.
void bindLocalAddress(boost::asio::ip::tcp::socket &Socket,
                      const std::string &LocalHost,
                      boost::system::error_code &Error);

} // namespace hemlockspar
