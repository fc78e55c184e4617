#pragma once

#include "net/Address.h"
#include "net/HttpServer.h"

#include <boost/asio/steady_timer.hpp>
#include <list>
#include <map>
#include <memory>
#include <set>

namespace hemlockspar {

/// What the proxy does to connections from one IP address to another. Bytes
/// from the one that opened the connection go out, those to it come back.
struct LinkFaults {
  /// Bytes are swallowed, connections stay open.
  bool DropOutbound = false;
  bool DropInbound = false;

  /// New connections are refused and open ones reset.
  bool Reset = false;
  std::uint64_t DelayMs = 0;
};

/// A TCP proxy that delays, swallows or resets what passes, by the IP address
/// it comes from and the one it goes to. Faults are set over HTTP while it
/// runs: PUT /links {"from", "to", "cut_out", "cut_back", "reset",
/// "delay_ms"}; an empty from or to stands for all.
class FaultProxy {
public:
  explicit FaultProxy(boost::asio::io_context &Io);

  /// Forwards connections made to \p Listen to \p Target.
  absl::Status forward(const Address &Listen, const Address &Target);

  absl::Status listenForControl(const Address &At);

private:
  using Socket = boost::asio::ip::tcp::socket;
  struct ProxiedConnection;

  void connectAndRelay(const std::shared_ptr<ProxiedConnection> &Through,
                       const boost::asio::yield_context &Yield);
  void relay(const std::shared_ptr<ProxiedConnection> &Through, bool Out,
             const boost::asio::yield_context &Yield);
  LinkFaults faultsFor(const std::string &From, const std::string &To) const;
  HttpResponse setFaults(const HttpRequest &Request);
  void closeResetLinks();

  boost::asio::io_context &Io;
  HttpServer Control;
  std::list<Acceptor> Listeners;
  std::map<std::pair<std::string, std::string>, LinkFaults> Links;
  std::set<std::shared_ptr<ProxiedConnection>> OpenConnections;
};

} // namespace hemlockspar
