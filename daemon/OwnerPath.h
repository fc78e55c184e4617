#pragma once

#include "coordination/AdmissionQueue.h"
#include "coordination/IdempotencyCache.h"
#include "coordination/LoadMeter.h"
#include "coordination/SlotGate.h"
#include "daemon/Answers.h"
#include "daemon/Metrics.h"
#include "daemon/PlaneMessages.h"
#include "daemon/RequestHeaders.h"
#include "net/HttpClient.h"

#include <set>

namespace hemlockspar {

/// Serves requests whose key this instance owns: checks the lease at
/// dispatch, admits them in order, sends them to the backend server, and
/// tells what came of each. Lives as long as the process; runs on the request
/// thread.
class OwnerPath {
public:
  /// \p OnBackendLost is called when the backend server refuses connections.
  OwnerPath(boost::asio::io_context &Io, Metrics &Counters,
            std::function<void()> OnBackendLost);

  /// \p Slot and \p Token are what the map of owners says of the key.
  Answer serve(HttpRequest &Request, const RoutedRequest &Routed,
               const KeyOwner &Owner, CallerWatch &Watch,
               const boost::asio::yield_context &Yield);

  void setLease(TimePoint Until) { this->LeaseUntil = Until; }
  void setBackend(const BackendChanged &State);
  void setQueueOrder(QueueOrder Order);

  /// Notes since when slots are owned. \p Self is this instance.
  void setOwned(const RoutingTable &Table, const InstanceId &Self,
                TimePoint Now);

  SlotGate &gate() { return this->Gate; }

  /// Sheds waiting requests whose deadline cannot be met.
  void expireWaiting();

  /// Tells the backend server what it owns and until when.
  void sendGrants(const boost::asio::yield_context &Yield);

  OwnLoad measureLoad();
  std::size_t runningCount() const { return this->Queue->running(); }

private:
  struct Waiter;
  class GateEntry;

  struct OwnedSlot {
    FencingToken Token = 0;
    TimePoint Since;
  };

  /// A request on its way through the ledger, while it is not settled.
  struct LedgerEntry {
    std::string Key;
    bool Used = false;
  };

  std::optional<Answer> checkOwnership(const RoutedRequest &Routed,
                                       const KeyOwner &Owner) const;
  std::optional<Answer> consultLedger(const HttpRequest &Request,
                                      const RoutedRequest &Routed,
                                      const KeyOwner &Owner,
                                      LedgerEntry &Entry);
  bool admit(RequestNumber Number, const RoutedRequest &Routed,
             CallerWatch &Watch, const boost::asio::yield_context &Yield);
  Answer dispatch(HttpRequest &Request, const RoutedRequest &Routed,
                  const KeyOwner &Owner, CallerWatch &Watch,
                  TimePoint &BusyUntil,
                  const boost::asio::yield_context &Yield);
  Answer judge(ExchangeResult &Exchange);
  void settle(const LedgerEntry &Entry, const Answer &Result);
  void applyVerdicts();
  void leaveGate(const RoutedRequest &Routed, SlotIndex Slot,
                 TimePoint BusyUntil);
  bool mayDispatch(TimePoint Now) const;

  boost::asio::io_context &Io;
  Metrics &Counters;
  std::function<void()> OnBackendLost;
  HttpClient Client;

  SlotGate Gate;
  ServiceTimeEstimator Learned;
  std::unique_ptr<AdmissionQueue> Queue;
  QueueOrder ActiveOrder = QueueOrder::Fifo;
  QueueOrder WantedOrder = QueueOrder::Fifo;
  IdempotencyCache Ledger;
  LoadMeter Meter;

  BackendChanged Backend;
  TimePoint LeaseUntil;
  std::map<std::pair<std::string, SlotIndex>, OwnedSlot> Owned;
  std::map<RequestNumber, Waiter *> Waiters;
  std::set<CallerWatch *> Dispatched;
  RequestNumber LastNumber = 0;
};

} // namespace hemlockspar
