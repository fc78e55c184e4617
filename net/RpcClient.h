#pragma once

#include "core/Clock.h"
#include "net/Address.h"
#include "net/RpcCodec.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <vector>

namespace hemlockspar {

/// Calls peers by JSON-RPC 2.0 over TCP, one call per line. Connections are
/// reused, carry one call at a time and are closed on any failure. Used from
/// one thread.
class RpcClient {
public:
  using Callback = std::function<void(const RpcResponse &Response)>;

  /// \p LocalHost is the source address of connections; empty for any.
  RpcClient(boost::asio::io_context &Io, std::string LocalHost);

  RpcClient(const RpcClient &) = delete;
  RpcClient &operator=(const RpcClient &) = delete;

  /// Starts a call; \p OnDone is called once, within about \p Timeout.
  void call(const Address &Peer, const std::string &Method,
            const Json::Value &Params, std::chrono::milliseconds Timeout,
            Callback OnDone);

  /// Like call, with \p Text encoded by RpcClientCodec; for a call that is sent
  /// to many peers.
  void callEncoded(const Address &Peer, std::shared_ptr<const std::string> Text,
                   std::chrono::milliseconds Timeout, Callback OnDone);

  /// Closes connections that have carried no call for \p MaxIdleTime.
  void closeIdle(Duration MaxIdleTime);

  /// Bytes of calls sent and of responses received.
  std::uint64_t bytesSent() const { return this->SentBytes; }
  std::uint64_t bytesReceived() const { return this->ReceivedBytes; }

private:
  struct Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;

  ConnectionPtr acquireConnection(const Address &Peer);
  RpcResponse exchange(const ConnectionPtr &Conn, const Address &Peer,
                       const std::string &Text,
                       const boost::asio::yield_context &Yield);

  boost::asio::io_context &Io;
  std::string LocalHost;
  std::map<Address, std::vector<ConnectionPtr>> IdleConnections;
  std::map<Address, std::size_t> OutstandingCalls;
  std::uint64_t SentBytes = 0;
  std::uint64_t ReceivedBytes = 0;
};

} // namespace hemlockspar
