#pragma once

#include "coordination/Messages.h"
#include "coordination/Slots.h"
#include "coordination/TableClient.h"

namespace hemlockspar {

/// A decision on placement or membership, to be logged.
enum class PlacementEvent {
  Joined,
  LeaseAdopted,
  LeaseForgotten,
  WitnessesChanged,
  CampaignStarted,
  TakeoverWon,
  TakeoverFailed,
  SlotsClaimed,
  HandoverStarted,
  HandoverDone,
  HandoverFailed,
  Released,
  Superseded,
};

/// Name of \p Event for logs.
const char *nameOf(PlacementEvent Event);

/// One decision, with the instance and the number of slots it concerns.
struct PlacementDecision {
  PlacementEvent Event = PlacementEvent::Joined;
  InstanceId Subject;
  std::size_t SlotCount = 0;
  std::string Detail;
};

/// Outgoing actions of a member: messages, table calls, slot freezes and
/// decisions. Answers are delivered through the methods of Member.
class MemberActions : public TableActions {
public:
  virtual void sendRenewal(const InstanceId &Witness,
                           const RenewalRequest &Request) = 0;
  virtual void sendVoteRequest(const InstanceId &Witness,
                               const VoteRequest &Request) = 0;

  /// Requests from \p Peer all changes after \p Since that it knows.
  virtual void fetchPeerRows(const InstanceId &Peer, RowVersion Since) = 0;

  /// Sends \p Batch to every live peer.
  virtual void pushRows(const RowBatch &Batch) = 0;

  /// Requests the load of \p Peer.
  virtual void requestLoad(const InstanceId &Peer) = 0;

  /// Asks the request path to stop dispatching to \p Slots and to answer with
  /// those that are idle; with \p WaitForBusy it answers when all are.
  virtual void freezeSlots(std::uint64_t HandoverId,
                           const SlotsByKeyspace &Slots, bool WaitForBusy) = 0;

  /// Ends the freeze of a handover: held requests are routed by the map of
  /// owners again.
  virtual void unfreezeSlots(std::uint64_t HandoverId) = 0;

  virtual void reportDecision(const PlacementDecision &Decision) = 0;
};

} // namespace hemlockspar
