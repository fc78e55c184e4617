#pragma once

#include "mesh/KeyAdmission.h"
#include "mesh/KeyHandovers.h"
#include "mesh/LeaseCache.h"
#include "mesh/MeshView.h"
#include "mesh/OfferTracker.h"
#include "mesh/OwnLease.h"
#include "mesh/ServerGrants.h"
#include "mesh/ownership/RestoredKeys.h"

#include <random>

namespace hemlockspar {

/// A change in the ownership of keys, for logs.
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
  FormerKeysGivenUp,
  MapConfirmed,
};

/// Event name of \p Event in the log.
const char *nameOf(KeyEvent Event);

/// An instance's response to an offer of keys.
struct OfferResponse {
  bool Accepted = false;

  /// The responder's load, including load that it has accepted but that is not
  /// measured yet.
  double Load = 0;

  /// The load that it accepts.
  double AcceptedLoad = 0;
};

/// Operations that KeyOwnershipManager requests. An implementation must not
/// call back into the manager before it returns.
class KeyOwnershipActions {
public:
  virtual ~KeyOwnershipActions() = default;

  /// Writes this instance's lease; the result goes to onLeaseCommit.
  virtual void commitLease(const TableTransaction &Write) = 0;

  /// Writes the key map; the result goes to onMapCommit.
  virtual void commitMap(const TableTransaction &Write) = 0;

  /// Reads the lease table; the result goes to onLeasesRead.
  virtual void readLeases() = 0;

  /// Reads the whole table of key maps into the view.
  virtual void readKeys() = 0;

  /// Reads the whole table of instances into the view; the result goes to
  /// onInstancesRead.
  virtual void readInstances() = 0;

  /// Asks \p Receiver whether it accepts keys from an owner whose load is
  /// \p Load; the response goes to onOfferResponse.
  virtual void sendOffer(const InstanceId &Receiver, double Load) = 0;

  /// The key map that was just written assigns keys to \p Owners, who can serve
  /// them as soon as they know.
  virtual void notifyOwners(const std::set<InstanceId> &Owners) = 0;

  virtual void onKeyEvent(KeyEvent Event, const std::string &Detail) = 0;
};

/// Decides which keys the local backend server holds, and moves keys between
/// instances by conditional writes of one row. These rules ensure that each key
/// has at most one owner:
///  - the backend server is granted keys only under this instance's lease, for
///    no longer than the lease lasts, and only from a key map at least as new
///    as the lease;
///  - while the lease lasts, only this process moves keys away from its
///    instance, and only once the backend server has released them or its grant
///    has expired;
///  - other instances take over keys after the lease has expired, in a
///    transaction that also closes the lease row.
/// Free of I/O; lives as long as the process.
class KeyOwnershipManager : public KeyAdmission {
public:
  struct Options {
    /// Interval between the backend server's reports.
    Duration Heartbeat = std::chrono::seconds(1);

    /// Longest grant that the platform allows.
    Duration MaxHoldTime = std::chrono::seconds(10);
  };

  KeyOwnershipManager(const InstanceId &Instance, std::uint64_t Process,
                      Options Opts, const MeshView &View, ServerGrants &Grants,
                      KeyOwnershipActions &Actions, TimePoint Now);

  /// The backend server reported. Reports must be passed in order, each newer
  /// than all before it.
  void onReport(const ServerReport &Report, TimePoint Now);

  /// The backend server is about to stop, though it may still hold keys.
  void onLeaving(TimePoint Now);

  /// No process listens at the backend server's address.
  void onConnectionRefused(TimePoint Now);

  void onLeaseCommit(const StoreCommit &Commit, TimePoint SentAt,
                     TimePoint Now);
  void onMapCommit(const StoreCommit &Commit, TimePoint Now);
  void onLeasesRead(const std::optional<StoreRows> &Rows, TimePoint SentAt,
                    TimePoint Now);

  /// The table of instances has been read into the view, if \p Done.
  void onInstancesRead(bool Done, TimePoint Now);

  /// Another owner, whose load is \p GiverLoad, offers keys. An accepted offer
  /// counts towards the load here for a while, so that several owners do not
  /// hand keys to the same instance at once.
  OfferResponse onOffer(double GiverLoad, TimePoint Now);

  /// \p Receiver's response to an offer; nothing when it did not respond.
  void onOfferResponse(const InstanceId &Receiver,
                       const std::optional<OfferResponse> &Response,
                       TimePoint Now);

  /// \p Other has reported its load.
  void onPeerLoad(const InstanceId &Other, double Load) {
    this->PeerLeases.setLoad(Other, Load);
  }

  /// Whether keys from accepted offers have yet to arrive.
  bool expectsKeys(TimePoint Now) const {
    return this->map() && this->Offers.expectsKeys(
                              this->map()->Map.keyCount(this->Instance), Now);
  }

  /// A request could not reach the instance that owns its key, so the leases
  /// are read for owners that are gone.
  void onOwnerUnreachable() { this->LeaseReadWanted = true; }

  /// Starts whatever step is due. Called often.
  void tick(TimePoint Now);

  /// The grants that a response to a report received at \p ReceivedAt would
  /// contain; nothing while nothing may be granted.
  std::optional<KeyGrants> computeGrants(TimePoint ReceivedAt,
                                         TimePoint Now) const;

  /// Like computeGrants, for a response that is sent now: the keys that it
  /// grants are served from now on. Nothing where grants are not part of
  /// responses.
  std::optional<KeyGrants> issueGrants(TimePoint ReceivedAt, TimePoint Now);

  /// Whether the response to a report should wait, since the keys that it could
  /// grant are about to arrive.
  bool shouldDelayResponse(TimePoint ReceivedAt, TimePoint Now) const;

  /// Whether a request for \p Key may be sent to the backend server.
  bool canServe(KeyNumber Key, TimePoint Now) const override;

  /// Whether this instance owns \p Key: it is served once the backend server
  /// has been granted it, or it is about to be handed to another owner, which
  /// can be named then.
  bool isOwnedHere(KeyNumber Key) const override;

  bool isSuspended(KeyNumber Key) const override;
  Duration estimatedWait(KeyNumber Key, TimePoint Now) const override;

  void onKeyRefused(KeyNumber Key, TimePoint Now) override;

  /// Whether the backend server holds no key at present.
  bool holdsNoKeys(TimePoint Now) const { return this->Grants.holdsNone(Now); }

  /// Records a request for \p Key that occupies a slot for \p Busy.
  void recordLoad(KeyNumber Key, Duration Busy, TimePoint Now) override {
    this->Loads.record(Key, Busy, Now);
  }

  /// Sets the share of the backend server's slots that incoming requests would
  /// occupy, above 1 when demand exceeds capacity: \p Busy as smoothed over a
  /// second, \p Recent over a fraction of that.
  void setLoad(double Busy, double Recent, TimePoint Now);

  /// Longest duration of a grant with \p Opts.
  static Duration holdTime(const Options &Opts);

private:
  enum class MapWrite {
    None,
    InitialLayout,
    AdoptRun,
    Handover,
    ServerLost,
    FormerKeys,
    Takeover,
    Confirmation
  };

  const std::string &service() const { return this->Report.Service; }
  KeyMapOwner localOwner() const {
    return {this->Instance, this->Report.Incarnation};
  }
  const MeshView::VersionedKeyMap *map() const;

  /// The era of the store in which the key map was read.
  std::uint64_t mapEra() const;

  /// Whether \p Known was written in the era in which it was read, so that no
  /// later map can have been lost.
  bool isConfirmed(const MeshView::VersionedKeyMap &Known) const;
  void observeMap(TimePoint Now);
  void tryConfirmMap(TimePoint Now);
  bool hasAuthority(TimePoint Now) const;
  bool isServerLost(TimePoint Now) const;
  TimePoint reportDue() const {
    return this->LastReportAt + this->Opts.Heartbeat;
  }
  void updateGrants(TimePoint Now);
  Duration nextWriteRetryDelay();
  bool hasUncertainWrite() const;
  void resolveUncertainWrite();

  void updateLease(TimePoint Now);
  void updateMap(TimePoint Now);
  bool tryInitialLayout(TimePoint Now);
  std::size_t rankInService() const;
  Duration stretchedForOwners(Duration Interval) const;
  bool tryAdoptRun();
  bool tryFinishHandovers(TimePoint Now);
  bool tryReassignLostServer(TimePoint Now);
  bool tryTakeover(TimePoint Now);
  bool mayOwnKeys() const;
  void offerKeys(TimePoint Now);
  void startLeavingHandovers(TimePoint Now);
  void startHandover(const PlannedHandover &Planned, TimePoint Now);
  void removeStaleHandovers(TimePoint Now);

  double remainingLoad(TimePoint Now) const;
  bool isLoadUnclear(TimePoint Now) const;
  double acceptanceLoad() const;
  static double loadToMove(double GiverLoad, double Load);
  bool tryHandOver(const InstanceRow &Receiver, double AcceptedLoad,
                   TimePoint Now);
  std::vector<KeyMapEntry> entriesNotInHandover() const;
  double loadOf(const std::vector<KeyMapEntry> &Entries, TimePoint Now) const;
  std::vector<OwnerCandidate> candidates(bool WithSelf, TimePoint Now) const;
  std::vector<OwnerCandidate> candidatesOf(const std::string &Service,
                                           bool WithSelf, TimePoint Now) const;

  /// Gives the keys of other services, which an earlier backend server of this
  /// instance owned, to live servers of those services: while this instance has
  /// a lease no other one can take them. Returns whether a write was started.
  bool tryGiveUpFormerKeys(TimePoint Now);
  std::vector<KeyRange> collectOrphanedKeys(const KeyMap &Map,
                                            TableTransaction &Write) const;
  void writeMap(MapWrite Kind, const KeyMap &Updated, TableTransaction Write);
  void writeMapOf(MapWrite Kind, const std::string &Service,
                  const KeyMap &Updated, TableTransaction Write);
  bool writeMapUnderLease(MapWrite Kind, const std::string &Service,
                          const KeyMap &Updated);

  InstanceId Instance;
  Options Opts;
  const MeshView &View;
  ServerGrants &Grants;
  KeyOwnershipActions &Actions;

  StoreClock Clock;
  OwnLease Lease;
  bool LeaseWasHeld = false;
  std::mt19937_64 Random;

  /// Writes of the key map that failed in a row.
  unsigned FailedWrites = 0;

  ServerReport Report;
  bool HasReport = false;
  bool Leaving = false;
  bool ConnectionRefused = false;
  TimePoint LastReportAt;

  RestoredKeys Restored;
  KeyHandovers Handovers;
  MapWrite PendingWrite = MapWrite::None;

  /// Instances to which the write in flight assigns keys.
  std::set<InstanceId> NewOwners;

  /// Set while a write that moves keys away from here has no known outcome. It
  /// may still take effect as long as the lease row has this version.
  std::optional<RowVersion> UncertainWriteLease;
  bool UncertainServerLoss = false;
  TimePoint WriteRetryAt;
  TimePoint NextOfferAt;

  LeaseCache PeerLeases;
  bool LeaseReadWanted = true;
  bool LeaseReadPending = false;
  TimePoint NextLeaseReadAt;
  TimePoint LastLeaseReadAt;
  TimePoint LeaseReadDueAt;
  TimePoint LastKeysReadAt;
  std::size_t LastCandidateCount = 0;
  TimePoint CandidatesChangedAt;

  /// From then on no earlier backend server of this instance can hold keys: the
  /// grants given before this process or the present server started have
  /// expired.
  TimePoint FormerGrantsEndAt;

  /// Progress of confirming the candidates of the initial layout by reading the
  /// table of instances, then that of leases.
  enum class Confirmation { None, ReadingInstances, ReadingLeases, Done };
  Confirmation CandidatesConfirmed = Confirmation::None;
  TimePoint InstancesReadAt;

  KeyLoads Loads;
  double OwnLoad = 0;
  double RecentLoad = 0;

  /// The load, smoothed over several seconds.
  double SteadyLoad = 0;
  std::optional<TimePoint> LoadSetAt;

  /// Since when the recent load has exceeded the smoothed one by far.
  std::optional<TimePoint> LoadRisingSince;

  OfferTracker Offers;
};

} // namespace hemlockspar
