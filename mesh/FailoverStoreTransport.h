#pragma once

#include "mesh/StoreTransport.h"

#include <functional>

namespace hemlockspar {

/// Transport for calls to the store that fails over: it calls the store
/// directly while that works, and relays calls through another instance while
/// the store does not respond to this one. Lives as long as the process.
class FailoverStoreTransport : public StoreTransport {
public:
  /// \p Peers returns the addresses of instances that can relay calls, in order
  /// of preference. Connections are opened from \p LocalHost.
  FailoverStoreTransport(boost::asio::io_context &Io, Address Store,
                         const std::string &LocalHost,
                         std::function<std::vector<Address>()> Peers,
                         const MemoryBudgetPtr &Memory);

  ExchangeResult exchange(HttpRequest &Request, Duration Timeout,
                          const boost::asio::yield_context &Yield) override;

  /// Handles a call relayed by another instance. Calls the store directly only,
  /// and fails while the store does not respond to this instance.
  HttpResponse relay(HttpRequest &Request,
                     const boost::asio::yield_context &Yield);

  /// Whether \p Request is a relayed call.
  static bool isRelayCall(const HttpRequest &Request);

private:
  bool mayCallDirectly() const;
  ExchangeResult exchangeDirectly(HttpRequest &Request, Duration Timeout,
                                  const boost::asio::yield_context &Yield);
  ExchangeResult exchangeThroughPeers(HttpRequest &Request, Duration Timeout,
                                      const boost::asio::yield_context &Yield);
  void recordDirectResult(bool Responds, const std::string &Reason);
  void cancelPendingReads();

  Address StoreAddress;
  std::function<std::vector<Address>()> Peers;
  HttpClient StoreClient;
  HttpClient PeerClient;

  /// Read-only calls to the store that are in progress.
  std::set<CallerWatch *> PendingReads;
  bool StoreReachable = true;
  TimePoint DirectRetryAt;
  std::size_t NextPeer = 0;
};

} // namespace hemlockspar
