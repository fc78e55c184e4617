#pragma once

#include "mesh/StoreTransport.h"

#include <functional>

namespace hemlockspar {

/// Carries calls to the store: directly while that works, and through another
/// instance while the store does not answer this one. Lives as long as the
/// process.
class FailoverStoreTransport : public StoreTransport {
public:
  /// \p Peers gives the addresses of other instances that may be asked, the
  /// best first. Connections leave from \p LocalHost.
  FailoverStoreTransport(boost::asio::io_context &Io, Address Store,
                         const std::string &LocalHost,
                         std::function<std::vector<Address>()> Peers);

  ExchangeResult exchange(HttpRequest &Request, Duration Timeout,
                          const boost::asio::yield_context &Yield) override;

  /// Answers another instance's call; directly only, and not at all while the
  /// store does not answer this instance.
  HttpResponse relay(HttpRequest &Request,
                     const boost::asio::yield_context &Yield);

  /// Whether \p Request is such a call.
  static bool isRelayCall(const HttpRequest &Request);

private:
  bool mayCallDirectly() const;
  ExchangeResult exchangeDirectly(HttpRequest &Request, Duration Timeout,
                                  const boost::asio::yield_context &Yield);
  ExchangeResult exchangeThroughPeers(HttpRequest &Request, Duration Timeout,
                                      const boost::asio::yield_context &Yield);
  void recordDirectResult(bool Works, const std::string &Why);
  void cancelPendingReads();

  Address StoreAddress;
  std::function<std::vector<Address>()> Peers;
  HttpClient StoreClient;
  HttpClient PeerClient;

  /// Calls to the store that change nothing and are under way.
  std::set<CallerWatch *> PendingReads;
  bool StoreReachable = true;
  TimePoint DirectRetryAt;
  std::size_t NextPeer = 0;
};

} // namespace hemlockspar
