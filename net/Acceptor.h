#pragma once

#include "net/Address.h"

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <functional>

namespace hemlockspar {

/// Listens on one address and runs each connection in a stackful coroutine of
/// its own. Lives as long as its io_context runs.
class Acceptor {
public:
  using Socket = boost::asio::ip::tcp::socket;
  using ConnectionHandler =
      std::function<void(Socket Peer, const boost::asio::yield_context &Yield)>;

  /// At most \p MaxConnections are served at once; more wait to be accepted.
  Acceptor(boost::asio::io_context &Io, std::size_t MaxConnections,
           ConnectionHandler OnConnection);

  Acceptor(const Acceptor &) = delete;
  Acceptor &operator=(const Acceptor &) = delete;

  /// Fails when the address cannot be bound.
  absl::Status listen(const Address &LocalEndpoint);

  /// Where it listens, with the port that was chosen for port 0.
  Address localAddress() const;

  /// Takes no more connections. Those that were opened before this and wait to
  /// be accepted are still served: to whoever opened them they look accepted.
  void close();

private:
  void acceptLoop(const boost::asio::yield_context &Yield);
  void acceptPending();
  void startSession(Socket Accepted);
  void runSession(Socket Peer, const boost::asio::yield_context &Yield);

  boost::asio::io_context &Io;
  std::size_t MaxConnections;
  ConnectionHandler OnConnection;
  boost::asio::ip::tcp::acceptor Listener;
  std::size_t ConnectionCount = 0;
};

} // namespace hemlockspar
