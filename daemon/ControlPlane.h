#pragma once

#include "coordination/Member.h"
#include "core/BoundedRing.h"
#include "daemon/BackendMonitor.h"
#include "daemon/Metrics.h"
#include "daemon/PeerRpcClient.h"
#include "daemon/Settings.h"
#include "net/RpcServer.h"
#include "platform/TableService.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>

namespace hemlockspar {

/// Runs a Member on the control thread: sends its messages to peers and the
/// table service, and tells the request thread through a ring buffer what it
/// may dispatch. Lives as long as the process.
class ControlPlane : private MemberActions {
public:
  ControlPlane(boost::asio::io_context &Io, const Settings &Config,
               Metrics &Counters, TableService &Table, RpcClient &Peers,
               BoundedRing<RequestThreadMessage> &ToRequestThread,
               BoundedRing<ControlThreadMessage> &FromRequests,
               hemlockspar::Incarnation Incarnation);

  /// Listens for peers and starts the tick timer.
  absl::Status start();

  /// Hands over all slots and leaves. \p OnDrained is called once the lease is
  /// released and all connections are closed, or the drain timeout has passed.
  void beginDrain(std::function<void()> OnDrained);

  void onAnnouncement(const BackendAnnouncement &Announced);

  /// Commits a transaction on declared resources and pushes the written rows to
  /// the peers.
  void commitResource(const TableTransaction &Transaction,
                      TableClient::CommitCallback OnDone);

  /// Asks every live instance which version it has in force. \p OnDone gets the
  /// instances that reported at least \p Version, and all others.
  using InForceCallback = std::function<void(std::vector<InstanceId> InForce,
                                             std::vector<InstanceId> Behind)>;
  void queryInForce(RowVersion Version, InForceCallback OnDone);

  /// Requests a read of the table; hasReadSince tells whether it has completed.
  void refreshTable() { this->LocalMember.requestTableRead(); }
  bool hasReadSince(TimePoint Moment) const {
    return this->LocalMember.tableReadSince(Moment);
  }

  const Member &member() const { return this->LocalMember; }
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

  /// Sends messages in order. While the ring buffer is full they are kept and
  /// sent again at the next tick.
  void sendToRequestThread(RequestThreadMessage &&Message);
  void flushToRequestThread();

  void registerPeerMethods();
  void scheduleTick();
  void tick();
  void publish();
  void publishPolicy();
  void updateBackend(TimePoint Now);
  void onRequestThreadMessage(ControlThreadMessage &&Message);
  void checkDrained();
  void updateGauges();

  const Settings &Config;
  Metrics &Counters;
  TableService &Table;
  RpcClient &Peers;
  BoundedRing<RequestThreadMessage> &ToRequestThread;
  RpcDispatcher Dispatcher;
  RpcServer Server;
  Member LocalMember;
  PeerRpcClient PeerClient;
  BackendMonitor Backend;
  boost::asio::steady_timer TickTimer;

  std::deque<RequestThreadMessage> PendingMessages;
  OwnLoad Load;
  TimePoint NextIdleCheckAt;
  std::uint64_t PublishedChangeCount = 0;
  TimePoint PublishedLeaseExpiry;
  BackendStatus PublishedBackend;
  std::function<void()> OnDrained;
  TimePoint DrainDeadline;
  bool Draining = false;
  bool LeaveAnnounced = false;
  bool AllConnectionsClosed = false;
};

} // namespace hemlockspar
