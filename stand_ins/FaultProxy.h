#pragma once

#include "net/Address.h"
#include "net/HttpServer.h"
#include "stand_ins/HeadFault.h"

#include <boost/asio/steady_timer.hpp>
#include <list>
#include <map>
#include <memory>
#include <set>

namespace hemlockspar {

/// Faults of connections from one IP address to another. Outbound data comes
/// from the side that opened the connection, inbound data goes to it.
struct LinkFaults {
  /// Discards the data of a direction; connections stay open.
  bool DropOutbound = false;
  bool DropInbound = false;

  /// Closes new and open connections.
  bool Reset = false;
  std::uint64_t DelayMs = 0;

  /// Discards all data of the connections that are open when this is set; they
  /// stay open, and new ones work.
  bool StallOpen = false;

  /// Closes a connection when it has carried this many bytes inbound since the
  /// fault was set; 0 for no bound.
  std::uint64_t MaxInboundBytes = 0;

  /// Rate of inbound data in bytes per second, shared by all connections that
  /// the same address has opened; 0 for no limit.
  std::uint64_t InboundRate = 0;

  /// Malforms the heads of HTTP responses.
  HeadFault InboundHead = HeadFault::None;

  /// Sent in response to an upload, which is then read no further, before the
  /// connection is reset; empty for none.
  std::string BrokenOffResponse;
};

/// TCP proxy that delays, discards or cuts traffic by its source and
/// destination IP address. Faults are set over HTTP at run time: PUT /links
/// {"from", "to", "cut_out", "cut_back", "reset", "stall_open", "delay_ms",
/// "max_back_bytes", "back_rate", "back_head", "broken_off"}; an empty from or
/// to matches every address.
class FaultProxy {
public:
  explicit FaultProxy(boost::asio::io_context &Io);

  /// Forwards connections to \p Listen on to \p Target.
  absl::Status forward(const Address &Listen, const Address &Target);

  /// Accepts the HTTP requests that set faults at \p At.
  absl::Status listenForControl(const Address &At);

private:
  using Socket = boost::asio::ip::tcp::socket;
  struct ProxiedConnection;

  void connectAndRelay(const std::shared_ptr<ProxiedConnection> &Connection,
                       const boost::asio::yield_context &Yield);
  void relay(const std::shared_ptr<ProxiedConnection> &Connection,
             bool Outbound, const boost::asio::yield_context &Yield);
  void awaitLink(const std::string &From, std::size_t Bytes, std::uint64_t Rate,
                 const boost::asio::yield_context &Yield);
  void breakOff(Socket &Client, const std::string &Response,
                const boost::asio::yield_context &Yield);
  LinkFaults faultsFor(const std::string &From, const std::string &To) const;
  HttpResponse setFaults(const HttpRequest &Request);
  void applyToOpenConnections();

  boost::asio::io_context &Io;
  HttpServer Control;
  std::list<Acceptor> Listeners;
  std::map<std::pair<std::string, std::string>, LinkFaults> Links;
  std::set<std::shared_ptr<ProxiedConnection>> OpenConnections;

  /// When the link of an address with a limited rate is free again.
  std::map<std::string, TimePoint> FreeAt;
};

} // namespace hemlockspar
