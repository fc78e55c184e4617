#pragma once

#include "coordination/AdmissionQueue.h"
#include "coordination/IdempotencyCache.h"
#include "coordination/LoadMeter.h"
#include "coordination/SlotGate.h"
#include "daemon/Metrics.h"
#include "daemon/PlaneMessages.h"
#include "daemon/RequestHeaders.h"
#include "daemon/RequestResult.h"
#include "net/HttpClient.h"

#include <set>

namespace hemlockspar {

/// Handles requests whose key this instance owns: queues them for admission,
/// checks the lease at dispatch, sends them to the backend server and returns
/// the result of each. Lives as long as the process; runs on the request
/// thread.
class LocalRequestHandler {
public:
  /// \p OnBackendUnreachable is called when a request or grant could not be
  /// sent to the backend server.
  LocalRequestHandler(boost::asio::io_context &Io, Metrics &Counters,
                      std::function<void()> OnBackendUnreachable);

  /// \p Owner holds the slot and token that the routing table has for the key.
  RequestResult handle(HttpRequest &Request, const RoutedRequest &Routed,
                       const KeyOwner &Owner, CallerWatch &Watch,
                       const boost::asio::yield_context &Yield);

  void setLeaseExpiry(TimePoint ExpiresAt) { this->LeaseExpiresAt = ExpiresAt; }
  void setBackend(const BackendStatus &State);
  void setQueueOrder(QueueOrder Order);

  /// Updates the owned slots from \p Table. A slot that is new, or has a new
  /// token, counts as owned since \p Now. \p Self is this instance.
  void updateOwnedSlots(const RoutingTable &Table, const InstanceId &Self,
                        TimePoint Now);

  SlotGate &gate() { return this->Gate; }

  /// Sheds waiting requests whose deadline cannot be met.
  void shedExpired();

  /// Sends the backend server the owned slots with their fencing tokens, and
  /// the expiry time of the lease.
  void sendGrants(const boost::asio::yield_context &Yield);

  OwnLoad measureLoad();
  std::size_t runningCount() const { return this->Queue->running(); }

private:
  struct Waiter;
  class GateEntry;

  struct OwnedSlot {
    FencingToken Token = 0;
    TimePoint OwnedSince;
  };

  /// Ledger entry of a request in progress; Recorded is false for a request
  /// that has none.
  struct LedgerEntry {
    std::string Key;
    bool Recorded = false;
  };

  std::optional<RequestResult> checkOwnership(const RoutedRequest &Routed,
                                              const KeyOwner &Owner) const;
  std::optional<RequestResult> checkLedger(const HttpRequest &Request,
                                           const RoutedRequest &Routed,
                                           const KeyOwner &Owner,
                                           LedgerEntry &Entry);
  bool admit(RequestNumber Number, const RoutedRequest &Routed,
             CallerWatch &Watch, const boost::asio::yield_context &Yield);
  RequestResult dispatch(HttpRequest &Request, const RoutedRequest &Routed,
                         const KeyOwner &Owner, CallerWatch &Watch,
                         TimePoint &SlotBusyUntil,
                         const boost::asio::yield_context &Yield);
  RequestResult interpretExchange(ExchangeResult &Exchange);
  void completeLedgerEntry(const LedgerEntry &Entry,
                           const RequestResult &Result);
  void applyAdmissionDecisions();
  void leaveGate(const RoutedRequest &Routed, SlotIndex Slot,
                 TimePoint SlotBusyUntil);
  bool leaseAllowsDispatch(TimePoint Now) const;

  boost::asio::io_context &Io;
  Metrics &Counters;
  std::function<void()> OnBackendUnreachable;
  HttpClient BackendClient;

  SlotGate Gate;
  ServiceTimeEstimator LearnedTimes;
  std::unique_ptr<AdmissionQueue> Queue;
  QueueOrder ActiveOrder = QueueOrder::Fifo;
  QueueOrder RequestedOrder = QueueOrder::Fifo;
  IdempotencyCache Ledger;
  LoadMeter Meter;

  BackendStatus Backend;
  TimePoint LeaseExpiresAt;
  std::map<std::pair<std::string, SlotIndex>, OwnedSlot> OwnedSlots;
  std::map<RequestNumber, Waiter *> Waiters;
  std::set<CallerWatch *> DispatchedWatches;
  RequestNumber LastRequestNumber = 0;
};

} // namespace hemlockspar
