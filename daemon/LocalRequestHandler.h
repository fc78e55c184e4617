#pragma once

#include "coordination/AdmissionQueue.h"
#include "coordination/LoadMeter.h"
#include "coordination/OutcomeLedger.h"
#include "coordination/SlotGate.h"
#include "daemon/Metrics.h"
#include "daemon/PlaneMessages.h"
#include "daemon/RequestHeaders.h"
#include "daemon/RequestResult.h"
#include "net/HttpClient.h"

#include <set>

namespace hemlockspar {

/// Serves requests whose key this instance owns: checks the lease at
/// dispatch, admits them in order, sends them to the backend server, and
/// tells what came of each. Lives as long as the process; runs on the request
/// thread.
class LocalRequestHandler {
public:
  /// \p OnBackendLost is called when the backend server refuses connections.
  LocalRequestHandler(boost::asio::io_context &Io, Metrics &Counters,
                      std::function<void()> OnBackendUnreachable);

  /// \p Slot and \p Token are what the map of owners says of the key.
  RequestResult handle(HttpRequest &Request, const RoutedRequest &Routed,
                       const KeyOwner &Owner, CallerWatch &Watch,
                       const boost::asio::yield_context &Yield);

  void setLeaseExpiry(TimePoint Until) { this->LeaseExpiresAt = Until; }
  void setBackend(const BackendStatus &State);
  void setQueueOrder(QueueOrder Order);

  /// Notes since when slots are owned. \p Self is this instance.
  void updateOwnedSlots(const RoutingTable &Table, const InstanceId &Self,
                        TimePoint Now);

  SlotGate &gate() { return this->Gate; }

  /// Sheds waiting requests whose deadline cannot be met.
  void shedExpired();

  /// Tells the backend server what it owns and until when.
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

  /// A request on its way through the ledger, while it is not settled.
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
  ServiceTimes LearnedTimes;
  std::unique_ptr<AdmissionQueue> Queue;
  QueueOrder ActiveOrder = QueueOrder::Fifo;
  QueueOrder RequestedOrder = QueueOrder::Fifo;
  OutcomeLedger Ledger;
  LoadMeter Meter;

  BackendStatus Backend;
  TimePoint LeaseExpiresAt;
  std::map<std::pair<std::string, SlotIndex>, OwnedSlot> OwnedSlots;
  std::map<RequestNumber, Waiter *> Waiters;
  std::set<CallerWatch *> DispatchedWatches;
  RequestNumber LastRequestNumber = 0;
};

} // namespace hemlockspar
