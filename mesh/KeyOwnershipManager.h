#pragma once

#include "mesh/KeyAdmission.h"
#include "mesh/KeyHandovers.h"
#include "mesh/LeaseCache.h"
#include "mesh/MeshView.h"
#include "mesh/OfferTracker.h"
#include "mesh/OwnLease.h"

#include <deque>

namespace hemlockspar {

/// What changed in the ownership of keys, for logs.
enum class KeyEvent {
  FirstLayout,
  LeaseLost,
  LeaseHeld,
  RunAdopted,
  HandoverBegun,
  HandoverDone,
  HandoverGivenUp,
  ServerLost,
  TakenOver,
  WriteFailed,
};

/// Name of \p Event for logs.
const char *nameOf(KeyEvent Event);

/// What an instance says to an offer of keys.
struct OfferResponse {
  bool Accepted = false;

  /// Its load, with what it has been promised.
  double Load = 0;

  /// The load that it takes.
  double AcceptedLoad = 0;
};

/// What the keeper asks its surroundings to do. Nothing of it may call back
/// into the keeper before it returns.
class KeyOwnershipActions {
public:
  virtual ~KeyOwnershipActions() = default;

  /// Writes this instance's lease; the answer goes to onLeaseCommit.
  virtual void commitLease(const TableTransaction &Write) = 0;

  /// Writes the map of owners; the answer goes to onMapCommit.
  virtual void commitMap(const TableTransaction &Write) = 0;

  /// Reads the table of leases; the answer goes to onLeases.
  virtual void readLeases() = 0;

  /// Reads the whole table of keys into the view.
  virtual void readKeys() = 0;

  /// Asks \p Receiver whether it takes keys from an owner whose load is
  /// \p Load; its word goes to onOfferAnswer.
  virtual void sendOffer(const InstanceId &Receiver, double Load) = 0;

  /// The map of owners that was just written gives keys to \p Owners, who can
  /// serve them as soon as they know.
  virtual void notifyOwners(const std::set<InstanceId> &Owners) = 0;

  virtual void onKeyEvent(KeyEvent Event, const std::string &Detail) = 0;
};

/// Decides which keys the backend server beside this instance holds, and moves
/// keys between instances by conditional writes of one row. The rules that
/// keep one owner a key:
///  - the backend server is granted keys only under this instance's lease, for
///    no longer than the lease lasts, and only with a map of owners at least
///    as new as the lease;
///  - while the lease lasts, only this process takes keys from its instance,
///    and only once the backend server has let them go or its grant has run
///    out;
///  - others take keys after the lease has ended, in a transaction that also
///    ends its row.
/// Free of I/O; lives as long as the process.
class KeyOwnershipManager : public KeyAdmission {
public:
  struct Options {
    /// How often the backend server reports.
    Duration Heartbeat = std::chrono::seconds(1);

    /// Longest grant; the platform's bound.
    Duration MaxHoldTime = std::chrono::seconds(10);
  };

  KeyOwnershipManager(const InstanceId &Instance, std::uint64_t Process,
                      Options Bounds, const MeshView &View,
                      KeyOwnershipActions &Actions, TimePoint Now);

  /// The backend server reported; newer than all reports before it.
  void onReport(const ServerReport &Report, TimePoint Now);

  /// The backend server stops soon, though it may still hold keys.
  void onLeaving(TimePoint Now);

  /// No process listens at the backend server's address.
  void onConnectionRefused(TimePoint Now);

  void onLeaseCommit(const StoreCommit &Commit, TimePoint SentAt,
                     TimePoint Now);
  void onMapCommit(const StoreCommit &Commit, TimePoint Now);
  void onLeasesRead(const std::optional<StoreRows> &Rows, TimePoint SentAt,
                    TimePoint Now);

  /// Another owner, whose load is \p GiverLoad, offers keys. An offer that is
  /// taken counts as load here for a while, so that several owners do not give
  /// to the same instance at once.
  OfferResponse onOffer(double GiverLoad, TimePoint Now);

  /// What \p Receiver said to the offer; nothing when it did not answer.
  void onOfferResponse(const InstanceId &Receiver,
                       const std::optional<OfferResponse> &Answer,
                       TimePoint Now);

  /// \p Other has told its load.
  void onPeerLoad(const InstanceId &Other, double Load) {
    this->PeerLeases.setLoad(Other, Load);
  }

  /// Whether keys that others promised are still to come: the next report is
  /// then better answered a little later.
  bool expectsKeys(TimePoint Now) const {
    return this->map() && this->Offers.expectsKeys(
                              this->map()->Map.keyCount(this->Instance), Now);
  }

  /// A request could not reach the instance that owns its key.
  void onOwnerUnreachable() { this->LeaseReadWanted = true; }

  /// Takes the next step, where one is due. Called often.
  void tick(TimePoint Now);

  /// What an answer to a report that came at \p ReceivedAt would be; nothing
  /// while nothing may be granted.
  std::optional<KeyGrants> computeGrants(TimePoint ReceivedAt,
                                         TimePoint Now) const;

  /// The same for an answer that goes out now: what it grants is served from
  /// now on.
  std::optional<KeyGrants> issueGrants(TimePoint ReceivedAt, TimePoint Now);

  /// Whether a request for \p Key may be sent to the backend server.
  bool canServe(KeyNumber Key, TimePoint Now) const override;

  /// Whether \p Key belongs here: it will be served once the backend server has
  /// been granted it, or it is about to have another owner, who can be named
  /// then.
  bool isOwnedHere(KeyNumber Key) const override;

  Duration estimatedWait(KeyNumber Key, TimePoint Now) const override;

  /// Whether the backend server holds no key at present.
  bool holdsNoKeys(TimePoint Now) const {
    return this->Granted.empty() || Now >= this->GrantedUntil;
  }

  /// A request for \p Key came that takes a slot for \p Busy.
  void recordLoad(KeyNumber Key, Duration Busy, TimePoint Now) override {
    this->Loads.record(Key, Busy, Now);
  }

  /// Share of the slots that the requests that come keep busy; above 1 when
  /// they are more than can be served.
  void setLoad(double Busy) { this->OwnLoad = Busy; }

  /// How long a grant lasts at most.
  Duration holdTime() const;

private:
  enum class MapWrite {
    None,
    InitialLayout,
    AdoptRun,
    Handover,
    ServerLost,
    Takeover
  };

  const std::string &service() const { return this->Report.Service; }
  KeyMapOwner localOwner() const { return {this->Instance, this->Report.Run}; }
  const MeshView::VersionedKeyMap *map() const;
  bool hasAuthority(TimePoint Now) const;
  bool isServerLost(TimePoint Now) const;
  bool hasUncertainWrite() const;
  void resolveUncertainWrite();

  void updateLease(TimePoint Now);
  void updateMap(TimePoint Now);
  bool tryInitialLayout(TimePoint Now);
  bool tryAdoptRun();
  bool tryFinishHandovers(TimePoint Now);
  bool tryReassignLostServer(TimePoint Now);
  bool tryTakeover(TimePoint Now);
  void offerKeys(TimePoint Now);
  void startLeavingHandovers(TimePoint Now);
  void startHandover(const PlannedHandover &Planned, TimePoint Now);
  void removeStaleHandovers(TimePoint Now);

  double remainingLoad(TimePoint Now) const;
  static double loadToMove(double GiverLoad, double Load);
  bool tryHandOver(const InstanceRow &Receiver, double Part, TimePoint Now);
  std::vector<KeyMapEntry> entriesNotInHandover() const;
  double loadOf(const std::vector<KeyMapEntry> &Entries, TimePoint Now) const;
  std::vector<OwnerCandidate> candidates(bool WithSelf, TimePoint Now) const;
  std::vector<KeySpan> collectOrphanedKeys(const KeyMap &Map,
                                           TableTransaction &Write) const;
  void writeMap(MapWrite Kind, const KeyMap &Fresh, TableTransaction Write);
  bool writeMapUnderLease(MapWrite Kind, const KeyMap &Fresh);

  InstanceId Instance;
  Options Opts;
  const MeshView &View;
  KeyOwnershipActions &Actions;

  StoreClock Clock;
  OwnLease Lease;
  bool LeaseWasHeld = false;

  ServerReport Report;
  bool HasReport = false;
  bool Leaving = false;
  bool ConnectionRefused = false;
  TimePoint LastReportAt;

  std::vector<GrantedKeys> Granted;

  /// The backend server may be sent requests until then.
  TimePoint GrantedUntil;

  /// It may hold keys until then, whatever its clock and the way there did.
  TimePoint HoldExpiresAt;

  KeyHandovers Handovers;
  MapWrite PendingWrite = MapWrite::None;

  /// To whom the write that is under way gives keys.
  std::set<InstanceId> NewOwners;

  /// A write that takes keys from here got no answer. It may be done later, as
  /// long as the lease's row has this version.
  std::optional<RowVersion> UncertainWriteLease;
  bool UncertainServerLoss = false;
  TimePoint WriteRetryAt;
  TimePoint NextOfferAt;

  LeaseCache PeerLeases;
  bool LeaseReadWanted = true;
  bool LeaseReadPending = false;
  TimePoint NextLeaseReadAt;
  TimePoint LeaseReadDueAt;
  TimePoint LastKeysReadAt;
  std::size_t LastCandidateCount = 0;
  TimePoint CandidatesChangedAt;

  KeyLoads Loads;
  double OwnLoad = 0;

  OfferTracker Offers;
};

} // namespace hemlockspar
