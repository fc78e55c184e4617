#pragma once

#include "coordination/Member.h"
#include "core/BoundedRing.h"
#include "daemon/BackendMonitor.h"
#include "daemon/Metrics.h"
#include "daemon/PeerCalls.h"
#include "daemon/Settings.h"
#include "net/RpcServer.h"
#include "platform/TableService.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>

namespace hemlockspar {

/// Drives a Member on the control thread: carries its messages to peers and
/// the table service, and tells the request thread through a ring what it may
/// dispatch. Lives as long as the process.
class ControlPlane : private MemberActions {
public:
  ControlPlane(boost::asio::io_context &Io, const Settings &Config,
               Metrics &Counters, TableService &Table, RpcClient &Peers,
               BoundedRing<ToRequests> &ToRequestThread,
               BoundedRing<ToControl> &FromRequests,
               hemlockspar::Incarnation Incarnation);

  /// Listens for peers and starts the clock.
  absl::Status start();

  /// Hands everything over and leaves; \p OnLeft is called once the lease is
  /// released or the drain timeout has passed.
  void beginDrain(std::function<void()> OnLeft);

  void onAnnouncement(const BackendAnnouncement &Announced);

  /// Runs a transaction on declared resources and tells the peers.
  void commitResource(const TableTransaction &Transaction,
                      TableClient::CommitCallback OnDone);

  /// Asks every live instance which version it has in force; \p OnDone gets
  /// the instances that answered at least \p Version and those behind.
  using InForceDone = std::function<void(std::vector<InstanceId> InForce,
                                         std::vector<InstanceId> Behind)>;
  void askInForce(RowVersion Version, InForceDone OnDone);

  /// Reads the table soon; hasReadSince tells when it was read.
  void refresh() { this->Self.requestTableRead(); }
  bool hasReadSince(TimePoint Moment) const {
    return this->Self.tableReadSince(Moment);
  }

  const Member &member() const { return this->Self; }
  const OwnLoad &load() const { return this->Load; }
  bool draining() const { return this->Draining; }

private:
  // MemberActions
  void commit(std::uint64_t Call, const TableTransaction &Transaction) override;
  void readTable(RowVersion Since) override;
  void sendRenewal(const InstanceId &Witness,
                   const RenewalRequest &Request) override;
  void sendVoteRequest(const InstanceId &Witness,
                       const VoteRequest &Request) override;
  void fetchPeerRows(const InstanceId &Peer, RowVersion Since) override;
  void pushRows(const RowBatch &Batch) override;
  void requestLoad(const InstanceId &Peer) override;
  void freezeSlots(std::uint64_t Handover, const SlotsByKeyspace &Slots,
                   bool WaitForBusy) override;
  void unfreezeSlots(std::uint64_t Handover) override;
  void reportDecision(const PlacementDecision &Decision) override;

  /// Passes a message on in order; one that finds the ring full waits for
  /// the next tick.
  void tellRequestThread(ToRequests &&Message);
  void flushToRequestThread();

  void bindCalls();
  void scheduleTick();
  void tick();
  void publish();
  void publishPolicy();
  void applyBackend(TimePoint Now);
  void onRequestThread(ToControl &&Message);
  void checkDrained();
  void setGauges();

  const Settings &Config;
  Metrics &Counters;
  TableService &Table;
  RpcClient &Peers;
  BoundedRing<ToRequests> &ToRequestThread;
  RpcDispatcher Dispatcher;
  RpcServer Server;
  Member Self;
  PeerCalls Calls;
  BackendMonitor Backend;
  boost::asio::steady_timer Ticker;

  std::deque<ToRequests> Unsent;
  OwnLoad Load;
  TimePoint NextIdleCheckAt;
  std::uint64_t PublishedChanges = 0;
  TimePoint PublishedLease;
  BackendChanged PublishedBackend;
  std::function<void()> OnLeft;
  TimePoint DrainDeadline;
  bool Draining = false;
  bool LeftAnnounced = false;
  bool ConnectionsServed = false;
};

} // namespace hemlockspar
