#pragma once

#include "mesh/KeyAccess.h"
#include "mesh/KeyGifts.h"
#include "mesh/LeaseBook.h"
#include "mesh/MeshView.h"
#include "mesh/OfferBook.h"
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
struct OfferAnswer {
  bool Taken = false;

  /// Its load, with what it has been promised.
  double Load = 0;

  /// The load that it takes.
  double Part = 0;
};

/// What the keeper asks its surroundings to do. Nothing of it may call back
/// into the keeper before it returns.
class KeyKeeperActions {
public:
  virtual ~KeyKeeperActions() = default;

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
  virtual void offer(const InstanceId &Receiver, double Load) = 0;

  /// The map of owners that was just written gives keys to \p Owners, who can
  /// serve them as soon as they know.
  virtual void tell(const std::set<InstanceId> &Owners) = 0;

  virtual void decided(KeyEvent Event, const std::string &Detail) = 0;
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
class KeyKeeper : public KeyAccess {
public:
  struct Terms {
    /// How often the backend server reports.
    Duration Heartbeat = std::chrono::seconds(1);

    /// Longest grant; the platform's bound.
    Duration LongestHold = std::chrono::seconds(10);
  };

  KeyKeeper(const InstanceId &Instance, std::uint64_t Process, Terms Bounds,
            const MeshView &View, KeyKeeperActions &Actions, TimePoint Now);

  /// The backend server reported; newer than all reports before it.
  void onReport(const ServerReport &Report, TimePoint Now);

  /// The backend server stops soon, though it may still hold keys.
  void onLeaving(TimePoint Now);

  /// No process listens at the backend server's address.
  void onServerRefused(TimePoint Now);

  void onLeaseCommit(const StoreCommit &Commit, TimePoint SentAt,
                     TimePoint Now);
  void onMapCommit(const StoreCommit &Commit, TimePoint Now);
  void onLeases(const std::optional<StoreRows> &Rows, TimePoint SentAt,
                TimePoint Now);

  /// Another owner, whose load is \p GiverLoad, offers keys. An offer that is
  /// taken counts as load here for a while, so that several owners do not give
  /// to the same instance at once.
  OfferAnswer onOffer(double GiverLoad, TimePoint Now);

  /// What \p Receiver said to the offer; nothing when it did not answer.
  void onOfferAnswer(const InstanceId &Receiver,
                     const std::optional<OfferAnswer> &Answer, TimePoint Now);

  /// \p Other has told its load.
  void onLoadSeen(const InstanceId &Other, double Load) {
    this->Leases.setLoad(Other, Load);
  }

  /// Whether keys that others promised are still to come: the next report is
  /// then better answered a little later.
  bool awaitsKeys(TimePoint Now) const {
    return this->map() &&
           this->Offers.awaits(this->map()->Map.countOf(this->Instance), Now);
  }

  /// A request could not reach the instance that owns its key.
  void suspectOwners() { this->LeasesWanted = true; }

  /// Takes the next step, where one is due. Called often.
  void tick(TimePoint Now);

  /// What an answer to a report that came at \p ReceivedAt would be; nothing
  /// while nothing may be granted.
  std::optional<KeyGrants> planGrants(TimePoint ReceivedAt,
                                      TimePoint Now) const;

  /// The same for an answer that goes out now: what it grants is served from
  /// now on.
  std::optional<KeyGrants> grant(TimePoint ReceivedAt, TimePoint Now);

  /// Whether a request for \p Key may be sent to the backend server.
  bool serves(KeyNumber Key, TimePoint Now) const override;

  /// Whether \p Key belongs here: it will be served once the backend server has
  /// been granted it, or it is about to have another owner, who can be named
  /// then.
  bool expects(KeyNumber Key) const override;

  Duration expectedIn(KeyNumber Key, TimePoint Now) const override;

  /// Whether the backend server holds no key at present.
  bool holdsNothing(TimePoint Now) const {
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
  enum class MapWrite { None, FirstLayout, Adopt, Handover, Lost, Takeover };

  const std::string &service() const { return this->Report.Service; }
  KeyHolder self() const { return {this->Instance, this->Report.Incarnation}; }
  const MeshView::VersionedKeyMap *map() const;
  bool mayAct(TimePoint Now) const;
  bool serverLost(TimePoint Now) const;
  bool inDoubt() const;
  void settleDoubt();

  void tendLease(TimePoint Now);
  void tendMap(TimePoint Now);
  bool tryFirstLayout(TimePoint Now);
  bool tryAdopt();
  bool tryFinishGifts(TimePoint Now);
  bool tryGiveUpServer(TimePoint Now);
  bool tryTakeover(TimePoint Now);
  void planGifts(TimePoint Now);
  void planLeaving(TimePoint Now);
  void begin(const PlannedGift &Planned, TimePoint Now);
  void dropStaleGifts(TimePoint Now);

  double loadLeft(TimePoint Now) const;
  static double partFor(double GiverLoad, double Load);
  bool tryGive(const InstanceRow &Receiver, double Part, TimePoint Now);
  std::vector<OwnedKeys> keysNotGiven() const;
  double loadOf(const std::vector<OwnedKeys> &Entries, TimePoint Now) const;
  std::vector<KeyMember> members(bool WithSelf, TimePoint Now) const;
  std::vector<KeyRange> lostKeys(const KeyMap &Map,
                                 TableTransaction &Write) const;
  void write(MapWrite Kind, const KeyMap &Fresh, TableTransaction Write);
  bool writeAsOwner(MapWrite Kind, const KeyMap &Fresh);

  InstanceId Instance;
  Terms Bounds;
  const MeshView &View;
  KeyKeeperActions &Actions;

  StoreClock Clock;
  OwnLease Lease;
  bool LeaseHeld = false;

  ServerReport Report;
  bool Reported = false;
  bool Leaving = false;
  bool Refused = false;
  TimePoint ReportedAt;

  std::vector<GrantedKeys> Granted;

  /// The backend server may be sent requests until then.
  TimePoint GrantedUntil;

  /// It may hold keys until then, whatever its clock and the way there did.
  TimePoint HoldEnd;

  KeyGifts Gifts;
  MapWrite Writing = MapWrite::None;

  /// To whom the write that is under way gives keys.
  std::set<InstanceId> NewOwners;

  /// A write that takes keys from here got no answer. It may be done later, as
  /// long as the lease's row has this version.
  std::optional<RowVersion> DoubtfulFrom;
  bool DoubtfulLoss = false;
  TimePoint WriteRetryAt;
  TimePoint NextGiftAt;

  LeaseBook Leases;
  bool LeasesWanted = true;
  bool LeasesAsked = false;
  TimePoint NextLeasesAt;
  TimePoint LeasesDueAt;
  TimePoint KeysAskedAt;
  std::size_t MembersSeen = 0;
  TimePoint MembersChangedAt;

  KeyLoads Loads;
  double OwnLoad = 0;

  OfferBook Offers;
};

} // namespace hemlockspar
