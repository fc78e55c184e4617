#pragma once

#include "net/Acceptor.h"
#include "net/RpcCodec.h"

namespace hemlockspar {

/// Serves JSON-RPC 2.0 over TCP, one call per line. A line that is too long
/// closes the connection.
class RpcServer {
public:
  /// \p Dispatcher must outlive the server.
  RpcServer(boost::asio::io_context &Io, RpcDispatcher &Dispatcher);

  absl::Status listen(const Address &LocalEndpoint) {
    return this->ConnectionAcceptor.listen(LocalEndpoint);
  }

  /// Bytes of responses sent and of calls received.
  std::uint64_t bytesSent() const { return this->SentBytes; }
  std::uint64_t bytesReceived() const { return this->ReceivedBytes; }

private:
  void serve(boost::asio::ip::tcp::socket Socket,
             const boost::asio::yield_context &Yield);

  RpcDispatcher &Dispatcher;
  Acceptor ConnectionAcceptor;
  std::uint64_t SentBytes = 0;
  std::uint64_t ReceivedBytes = 0;
};

} // namespace hemlockspar
