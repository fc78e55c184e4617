#include "net/Address.h"

#include <charconv>

namespace hemlockspar {

std::string Address::toText() const {
  return this->Host + ":" + std::to_string(this->Port);
}

boost::asio::ip::tcp::endpoint
Address::toEndpoint(boost::system::error_code &Error) const {
  auto Ip = boost::asio::ip::make_address(this->Host, Error);
  return {Ip, this->Port};
}

bool Address::fromText(const std::string &Text, Address &Result) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos || Colon == 0) {
    return false;
  }

  const char *First = Text.data() + Colon + 1;
  const char *Last = Text.data() + Text.size();
  auto [End, Error] = std::from_chars(First, Last, Result.Port);
  if (Error != std::errc() || End != Last) {
    return false;
  }

  Result.Host = Text.substr(0, Colon);
  return true;
}

void bindLocalAddress(boost::asio::ip::tcp::socket &Socket,
                      const std::string &LocalHost,
                      boost::system::error_code &Error) {
  if (LocalHost.empty()) {
    return;
  }

  auto Endpoint = Address{LocalHost, 0}.toEndpoint(Error);
  if (!Error) {
    Socket.open(Endpoint.protocol(), Error);
  }
  if (!Error) {
    Socket.bind(Endpoint, Error);
  }
}

} // namespace hemlockspar
