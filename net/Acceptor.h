#pragma once

#include "net/Address.h"

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <functional>

namespace hemlockspar {

/// Listens on one address and runs each connection in its own stackful
/// coroutine. Must live as long as its io_context runs.
class Acceptor {
public:
  using Socket = boost::asio::ip::tcp::socket;
  using ConnectionHandler =
      std::function<void(Socket Peer, const boost::asio::yield_context &Yield)>;

  /// At most \p MaxConnections are served at once; more wait to be accepted.
  /// When one waits, \p MakeRoom is called if it is set, to close another.
  Acceptor(boost::asio::io_context &Io, std::size_t MaxConnections,
           ConnectionHandler OnConnection, std::function<void()> MakeRoom = {});

  Acceptor(const Acceptor &) = delete;
  Acceptor &operator=(const Acceptor &) = delete;

  /// Fails when the address cannot be bound.
  absl::Status listen(const Address &LocalEndpoint);

  /// The local address, with the port that the system chose for port 0.
  Address localAddress() const;

  /// Stops accepting. Connections that are pending in the listen queue are
  /// still served, since to their clients they already look accepted.
  void close();

private:
  void acceptLoop(const boost::asio::yield_context &Yield);
  void acceptPending();
  void awaitRoom(const boost::asio::yield_context &Yield);
  void startSession(Socket Accepted);
  void runSession(Socket Peer, const boost::asio::yield_context &Yield);

  boost::asio::io_context &Io;
  std::size_t MaxConnections;
  ConnectionHandler OnConnection;
  std::function<void()> MakeRoom;
  boost::asio::ip::tcp::acceptor Listener;
  std::size_t ConnectionCount = 0;
};

} // namespace hemlockspar
