#pragma once

#include "mesh/StoreTransport.h"
#include "mesh/store_access/HedgeSchedule.h"
#include "mesh/store_access/RelaySelector.h"

#include <functional>

namespace hemlockspar {

/// Transport for calls to the store that fails over: it calls the store
/// directly while that works, and relays calls through another instance while
/// the store does not respond to this one. Lives as long as the process.
class FailoverStoreTransport : public StoreTransport {
public:
  /// \p Peers returns the instances that can relay calls; those in \p Region
  /// are preferred. Connections are opened from \p LocalHost.
  FailoverStoreTransport(boost::asio::io_context &Io, Address Store,
                         const std::string &LocalHost,
                         const std::string &Region,
                         std::function<std::vector<RelayCandidate>()> Peers,
                         const MemoryBudgetPtr &Memory);

  ExchangeResult exchange(HttpRequest &Request, Duration Timeout,
                          const boost::asio::yield_context &Yield) override;

  ExchangeResult
  exchangeHedged(HttpRequest &Request, Duration Timeout,
                 const boost::asio::yield_context &Yield) override;

  /// Handles a call relayed by another instance. Calls the store directly only,
  /// and fails while the store does not respond to this instance.
  HttpResponse relay(HttpRequest &Request,
                     const boost::asio::yield_context &Yield);

  /// Whether \p Request is a relayed call.
  static bool isRelayCall(const HttpRequest &Request);

private:
  struct Attempt;
  struct HedgedCall;
  struct DirectResult;

  bool mayCallDirectly() const;
  DirectPath directPath();
  DirectResult exchangeDirectly(HttpRequest &Request, Duration Timeout,
                                Attempt &Running,
                                const boost::asio::yield_context &Yield);
  ExchangeResult exchangeWithPeer(const Address &Peer,
                                  const HttpRequest &Request, Duration Timeout,
                                  Attempt &Running,
                                  const boost::asio::yield_context &Yield);
  void beginAttempt(const std::shared_ptr<HedgedCall> &Call, StorePath Path);
  void runAttempt(HedgedCall &Call, StorePath Path, const Address &Peer,
                  Attempt &Running, const boost::asio::yield_context &Yield);
  void onAttemptEnded(HedgedCall &Call, ExchangeResult Result);
  ExchangeResult exchangeThroughPeers(HttpRequest &Request, Duration Timeout,
                                      const boost::asio::yield_context &Yield);
  void recordDirectResult(bool Responds, const std::string &Reason);
  void cancelPendingReads();

  /// Whether the response to a direct call is arriving.
  bool isReceiving() const;

  boost::asio::io_context &Io;
  Address StoreAddress;
  std::function<std::vector<RelayCandidate>()> Peers;
  RelaySelector Relays;
  HedgeDelay Hedging;
  HttpClient StoreClient;
  HttpClient PeerClient;

  /// Read-only calls to the store that are in progress, and when a part of a
  /// large response was last received.
  std::map<Attempt *, TimePoint> PendingReads;
  bool StoreReachable = true;
  TimePoint DirectRetryAt;
};

} // namespace hemlockspar
