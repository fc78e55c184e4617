#include "mesh/KeyOwnershipManager.h"

#include "core/EnumNames.h"
#include "mesh/CallGrants.h"
#include "mesh/FleetScale.h"
#include "mesh/placement/KeyPlacement.h"
#include "mesh/placement/SpareCapacity.h"
#include "mesh/store_access/StoreEra.h"

#include <algorithm>
#include <cmath>

namespace hemlockspar {

namespace {

constexpr std::array<const char *, 12> KeyEventNames = {
    "first_layout",   "lease_lost",    "lease_held",           "run_adopted",
    "handover_begun", "handover_done", "handover_given_up",    "server_lost",
    "taken_over",     "write_failed",  "former_keys_given_up", "map_confirmed"};

/// A grant outlasts this many heartbeats, so that three reports in a row may be
/// late before requests are rejected.
constexpr int HeartbeatsPerHold = 4;

/// The backend server counts as lost or cut off after this many heartbeats
/// without a report.
constexpr int HeartbeatsUntilLost = 3;

/// A grant ends this long before the lease, to allow for the delivery of the
/// response.
constexpr auto GrantMargin = std::chrono::milliseconds(30);

/// A shorter grant is not worth a response.
constexpr auto MinHoldTime = std::chrono::milliseconds(150);

/// The initial layout is written once no instance has joined for this long: all
/// instances start within a short time, and keys would have to be moved to any
/// that joins after the layout.
constexpr auto SettleTime = std::chrono::milliseconds(1300);

/// Each instance waits this much longer than the one ranked before it, so that
/// only one writes the layout.
constexpr auto SettleTimePerRank = std::chrono::milliseconds(400);

/// Minimum time between two reads of the lease table: the store charges for
/// each read.
constexpr auto MinLeaseReadInterval = std::chrono::milliseconds(700);

/// The lease table is read at least this often, to refresh the owners' loads
/// and to find owners that are gone.
constexpr auto MaxLeaseReadInterval = std::chrono::milliseconds(5000);

/// Longest interval to which those between readings of the lease table are
/// stretched in a large fleet.
constexpr auto MaxStretchedLeaseRead = std::chrono::seconds(20);

/// Intervals between readings differ between the instances by up to this
/// factor, so that they do not all read at the same time.
constexpr double LeaseReadSpread = 0.5;

/// Before the initial layout, only this many instances read the lease table
/// often: the one ranked first writes the layout, the others stand by.
constexpr std::size_t LayoutCandidates = 4;

constexpr KeyRange AllKeys = {0, MaxKey};

constexpr auto MinKeysReadInterval = std::chrono::milliseconds(300);

/// Minimum time between two offers by one owner after the first was declined.
constexpr auto MinOfferInterval = std::chrono::milliseconds(300);

/// Number of instances to which keys are offered at the same time: when a third
/// of a service's requests fall on a few keys of one owner, the load has to go
/// to several others.
constexpr std::size_t MaxConcurrentOffers = 32;

/// The load is rising when the recent load exceeds the smoothed one by this
/// factor.
constexpr double RisingLoadFactor = 1.3;

/// After the start of a rise the recent load takes this long to show its
/// extent: keys that are handed over earlier are too many for their receiver.
constexpr auto RiseMeasuringTime = std::chrono::milliseconds(350);

/// Time constant for smoothing the load, in seconds, where no request has to
/// wait. Among a hundred servers the loads of a second always differ by more
/// than is worth a handover, so that keys would move all the time.
constexpr double SteadyLoadSeconds = 4.0;

/// An instance accepts keys until its load is about this high; above it
/// requests queue.
constexpr double MaxLoadAfterAccept = 0.85;

/// Smallest difference in load for which keys are accepted.
constexpr double MinLoadGap = 0.25;

/// Minimum time between two handovers by one owner, so that the effect of one
/// shows in the load before the next is considered.
constexpr auto MinHandoverInterval = std::chrono::milliseconds(1000);

/// Requests that are still running delay a handover; after this time it is
/// cancelled and the keys stay with their owner.
constexpr auto HandoverTimeout = std::chrono::seconds(8);

/// Delay after a failed write of the key map. Doubled, up to the maximum, and
/// randomised after each further failure: owners that repeat their writes at
/// the same time fail again, as only one of them can change the row.
constexpr auto WriteRetryDelay = std::chrono::milliseconds(60);
constexpr unsigned MaxWriteRetryDoublings = 3;

std::string countText(const std::vector<KeyRange> &Ranges) {
  std::uint32_t Keys = 0;
  for (const KeyRange &Range : Ranges) {
    Keys += Range.size();
  }
  return std::to_string(Keys) + " keys in " + std::to_string(Ranges.size()) +
         " ranges";
}

std::string rangeText(const KeyRange &Keys) {
  return std::to_string(Keys.First) + ".." + std::to_string(Keys.Last);
}

/// Instances to which \p Updated assigns keys under tokens that are not in
/// \p Before.
std::set<InstanceId> newOwners(const KeyMap *Before, const KeyMap &Updated) {
  FencingToken Last = 0;
  for (const KeyMapEntry &Entry :
       Before ? Before->entries() : std::vector<KeyMapEntry>()) {
    Last = std::max(Last, Entry.Token);
  }

  std::set<InstanceId> Owners;
  for (const KeyMapEntry &Entry : Updated.entries()) {
    if (Entry.Token > Last) {
      Owners.insert(Entry.Owner.Instance);
    }
  }
  return Owners;
}

bool acceptsRequests(const ServerReport &Report) { return !Report.Leaving; }

} // namespace

const char *nameOf(KeyEvent Event) { return enumName(KeyEventNames, Event); }

KeyOwnershipManager::KeyOwnershipManager(const InstanceId &Instance,
                                         std::uint64_t Process, Options Opts,
                                         const MeshView &View,
                                         ServerGrants &Grants,
                                         KeyOwnershipActions &Actions,
                                         TimePoint Now)
    : Instance(Instance), Opts(Opts), View(View), Grants(Grants),
      Actions(Actions), Lease(Instance, Process, {}), Random(Process),
      LastReportAt(Now), CandidatesChangedAt(Now),
      FormerGrantsEndAt(Now + onSlowestServerClock(holdTime(Opts))) {}

Duration KeyOwnershipManager::holdTime(const Options &Opts) {
  return std::min(Opts.Heartbeat * HeartbeatsPerHold, Opts.MaxHoldTime);
}

const MeshView::VersionedKeyMap *KeyOwnershipManager::map() const {
  return this->View.findKeyMap(this->service());
}

std::uint64_t KeyOwnershipManager::mapEra() const {
  const MeshView::VersionedKeyMap *Known = this->map();
  return eraOf(
      std::max(Known ? Known->Version : 0, this->View.keysReadVersion()));
}

bool KeyOwnershipManager::isConfirmed(
    const MeshView::VersionedKeyMap &Known) const {
  return !Known.Map.era() || *Known.Map.era() >= eraOf(Known.Version);
}

void KeyOwnershipManager::observeMap(TimePoint Now) {
  std::uint64_t Era = this->mapEra();
  const MeshView::VersionedKeyMap *Known = this->map();
  if (Era == 0) {
    return;
  }
  bool OwnUnknown =
      !Known || (this->hasUncertainWrite() && this->UncertainServerLoss);
  this->Restored.observe(Era, Known && this->isConfirmed(*Known),
                         OwnUnknown ? std::vector<KeyMapEntry>()
                                    : this->entriesNotInHandover(),
                         this->Lease.isHeld(Now), Now);
}

bool KeyOwnershipManager::hasAuthority(TimePoint Now) const {
  return this->Lease.isHeld(Now) &&
         this->View.keysReadVersion() >= this->Lease.continuousSince();
}

bool KeyOwnershipManager::isServerLost(TimePoint Now) const {
  Duration Patience = this->Opts.Heartbeat * HeartbeatsUntilLost;
  bool Silent = Now - this->LastReportAt > Patience &&
                !this->Grants.hasAnsweredSince(Now - Patience);
  return (this->ConnectionRefused || Silent) &&
         Now >= this->Grants.heldUntil(AllKeys);
}

// The backend server

void KeyOwnershipManager::onReport(const ServerReport &Report, TimePoint Now) {
  bool NewIncarnation =
      this->HasReport && Report.Incarnation != this->Report.Incarnation;
  if (NewIncarnation) {
    // The previous incarnation is gone, and no longer holds any keys.
    this->Grants.onServerEnded(Now);
    this->Handovers.clear();
    this->Leaving = false;
    this->FormerGrantsEndAt = Now + onSlowestServerClock(holdTime(this->Opts));
  }

  this->Report = Report;
  this->HasReport = true;
  this->ConnectionRefused = false;
  this->LastReportAt = Now;
  this->Leaving = this->Leaving || Report.Leaving;
  this->Handovers.recordReleases(Report.Released);
  this->tick(Now);
}

void KeyOwnershipManager::onLeaving(TimePoint Now) {
  this->Leaving = true;
  this->tick(Now);
}

void KeyOwnershipManager::onConnectionRefused(TimePoint Now) {
  if (!this->ConnectionRefused) {
    this->ConnectionRefused = true;
    this->Grants.onServerEnded(Now);
    this->tick(Now);
  }
}

void KeyOwnershipManager::onKeyRefused(KeyNumber Key, TimePoint Now) {
  this->Grants.onKeyRefused(Key);
  this->updateGrants(Now);
}

std::optional<KeyGrants>
KeyOwnershipManager::computeGrants(TimePoint ReceivedAt, TimePoint Now) const {
  const MeshView::VersionedKeyMap *Known = this->map();
  bool Uncertain = this->hasUncertainWrite() && this->UncertainServerLoss;
  if (!this->HasReport || !Known || Uncertain || !this->hasAuthority(Now)) {
    return std::nullopt;
  }
  bool Confirmed = this->isConfirmed(*Known);
  if (!Confirmed && !this->Restored.knows(this->mapEra())) {
    return std::nullopt;
  }

  auto UnderLease = std::chrono::duration_cast<Duration>(
      (this->Lease.expiresAt() - GrantMargin - ReceivedAt) /
      MaxServerClockSlowdown);
  Duration Hold = std::min(holdTime(this->Opts), UnderLease);
  if (Hold < MinHoldTime) {
    return std::nullopt;
  }

  KeyGrants Wanted;
  Wanted.HoldTime = std::chrono::milliseconds(toMilliseconds(Hold));
  std::vector<KeyMapEntry> Entries = this->entriesNotInHandover();
  if (!Confirmed) {
    Entries = this->Restored.grantedBefore(Entries);
  }
  for (const KeyMapEntry &Entry : Entries) {
    if (Entry.Owner == this->localOwner()) {
      Wanted.Granted.push_back({Entry.Keys, Entry.Token, Entry.HandoverState});
    }
  }
  return Wanted;
}

std::optional<KeyGrants> KeyOwnershipManager::issueGrants(TimePoint ReceivedAt,
                                                          TimePoint Now) {
  if (!this->Grants.areInResponses()) {
    return std::nullopt;
  }
  auto Issued = this->computeGrants(ReceivedAt, Now);
  if (Issued) {
    this->Grants.onResponse(*Issued, ReceivedAt);
  }
  return Issued;
}

bool KeyOwnershipManager::shouldDelayResponse(TimePoint ReceivedAt,
                                              TimePoint Now) const {
  if (!this->Grants.areInResponses()) {
    return false;
  }
  auto Planned = this->computeGrants(ReceivedAt, Now);
  return !Planned || Planned->Granted.empty() || this->expectsKeys(Now);
}

void KeyOwnershipManager::updateGrants(TimePoint Now) {
  const MeshView::VersionedKeyMap *Known = this->map();
  if (!Known) {
    return;
  }

  std::vector<GrantedKeys> Revoked;
  for (const KeyRange &Keys : this->Handovers.ranges()) {
    Revoked.push_back({Keys, Known->Map.find(Keys.First).Token, ""});
  }
  bool Reachable = this->HasReport && !this->ConnectionRefused;
  auto Wanted = Reachable
                    ? this->computeGrants(Now + CallGrants::CallTimeout, Now)
                    : std::nullopt;
  this->Grants.update(Wanted, Revoked, Now);
}

bool KeyOwnershipManager::canServe(KeyNumber Key, TimePoint Now) const {
  return this->Grants.holds(Key, Now) && !this->Handovers.isDraining(Key, Now);
}

bool KeyOwnershipManager::isOwnedHere(KeyNumber Key) const {
  const MeshView::VersionedKeyMap *Known = this->map();
  return Known && !this->ConnectionRefused &&
         Known->Map.find(Key).Owner.Instance == this->Instance;
}

bool KeyOwnershipManager::isSuspended(KeyNumber Key) const {
  const MeshView::VersionedKeyMap *Known = this->map();
  if (!Known || this->isConfirmed(*Known)) {
    return false;
  }
  KeyMapEntry Entry = Known->Map.find(Key);
  Entry.Keys = {Key, Key};
  return this->Restored.grantedBefore({Entry}).empty();
}

Duration KeyOwnershipManager::estimatedWait(KeyNumber Key,
                                            TimePoint Now) const {
  if (this->isSuspended(Key)) {
    return this->Restored.timeUntilLeasesEnd(Now);
  }
  return this->Grants.expectedDelay(this->reportDue(),
                                    this->Handovers.overlaps({Key, Key}), Now);
}

// The lease

void KeyOwnershipManager::onLeaseCommit(const StoreCommit &Commit,
                                        TimePoint SentAt, TimePoint Now) {
  if (Commit.StoreClock) {
    this->Clock.observe(*Commit.StoreClock, SentAt, Now);
  }
  this->Lease.onCommit(Commit, this->Clock, Now);
  this->tick(Now);
}

void KeyOwnershipManager::onLeasesRead(const std::optional<StoreRows> &Rows,
                                       TimePoint SentAt, TimePoint Now) {
  this->LeaseReadPending = false;
  if (!Rows) {
    return;
  }
  if (Rows->StoreClock) {
    this->Clock.observe(*Rows->StoreClock, SentAt, Now);
  }

  this->LeaseReadWanted = false;
  this->PeerLeases.replaceAll(*Rows);
  if (this->CandidatesConfirmed == Confirmation::ReadingLeases &&
      SentAt >= this->InstancesReadAt) {
    this->CandidatesConfirmed = Confirmation::Done;
  }
  const TableRow *Own = nullptr;
  for (const TableRow &Row : Rows->Rows) {
    bool Readable = Row.Value && KeyLeaseRow::fromText(*Row.Value);
    bool IsOwn = Row.Key == KeyLeaseRow::key(this->Instance);
    Own = IsOwn && Readable ? &Row : Own;
  }

  this->Lease.onRow(Own, this->Clock);
  this->tick(Now);
}

void KeyOwnershipManager::updateLease(TimePoint Now) {
  bool Wanted = (this->LeaseReadWanted || Now >= this->LeaseReadDueAt) &&
                Now >= this->NextLeaseReadAt;
  bool Urgent = this->Lease.needsRead() &&
                Now >= this->LastLeaseReadAt + MinLeaseReadInterval;
  if ((Wanted || Urgent) && !this->LeaseReadPending) {
    this->LeaseReadPending = true;
    this->LastLeaseReadAt = Now;
    Duration Longest = this->stretchedForOwners(MaxLeaseReadInterval);
    auto Spread =
        static_cast<double>(std::hash<std::string>()(this->Instance) % 1000) /
        1000 * LeaseReadSpread;
    this->NextLeaseReadAt =
        Now + (this->map() ? this->stretchedForOwners(MinLeaseReadInterval)
                           : Duration(MinLeaseReadInterval));
    this->LeaseReadDueAt =
        Now + std::chrono::duration_cast<Duration>(Longest * (1.0 - Spread));
    this->Actions.readLeases();
  }

  if (auto Write =
          this->Lease.prepareRenewal(this->Clock, this->OwnLoad, Now)) {
    this->Actions.commitLease(*Write);
  }

  bool Holds = this->Lease.isHeld(Now);
  if (Holds != this->LeaseWasHeld) {
    this->LeaseWasHeld = Holds;
    this->Actions.onKeyEvent(Holds ? KeyEvent::LeaseHeld : KeyEvent::LeaseLost,
                             "");
  }

  auto Version = this->Lease.version();
  bool Uncertain = this->UncertainWriteLease && Version &&
                   *Version > *this->UncertainWriteLease &&
                   this->View.keysReadVersion() < *Version;
  bool KeysOutdated = Holds && (Uncertain || this->View.keysReadVersion() <
                                                 this->Lease.continuousSince());
  if (KeysOutdated && Now >= this->LastKeysReadAt + MinKeysReadInterval) {
    this->LastKeysReadAt = Now;
    this->Actions.readKeys();
  }
}

// The key map

void KeyOwnershipManager::tick(TimePoint Now) {
  this->observeMap(Now);
  this->updateLease(Now);
  this->Handovers.recordReleases(this->Grants.takeReleased(Now));
  if (this->HasReport && this->hasAuthority(Now)) {
    this->updateMap(Now);
  }
  this->updateGrants(Now);
}

void KeyOwnershipManager::updateMap(TimePoint Now) {
  this->resolveUncertainWrite();
  this->removeStaleHandovers(Now);

  bool Free = this->PendingWrite == MapWrite::None &&
              !this->hasUncertainWrite() && Now >= this->WriteRetryAt;
  if (!Free) {
    return;
  }
  if (this->map() && !this->isConfirmed(*this->map())) {
    this->tryConfirmMap(Now);
    return;
  }
  if (this->tryGiveUpFormerKeys(Now)) {
    return;
  }
  if (!this->map()) {
    this->tryInitialLayout(Now);
    return;
  }
  if (this->tryAdoptRun() || this->tryFinishHandovers(Now) ||
      this->tryReassignLostServer(Now) || this->tryTakeover(Now)) {
    return;
  }
  this->offerKeys(Now);
}

void KeyOwnershipManager::tryConfirmMap(TimePoint Now) {
  if (this->Restored.timeUntilLeasesEnd(Now) > Duration::zero()) {
    return;
  }
  KeyMap Updated = this->map()->Map;
  Updated.confirmIn(this->mapEra());
  this->writeMap(MapWrite::Confirmation, Updated, {});
}

std::vector<OwnerCandidate>
KeyOwnershipManager::candidates(bool WithSelf, TimePoint Now) const {
  return this->candidatesOf(this->service(), WithSelf, Now);
}

std::vector<OwnerCandidate>
KeyOwnershipManager::candidatesOf(const std::string &Service, bool WithSelf,
                                  TimePoint Now) const {
  std::vector<OwnerCandidate> Found;
  auto StoreTime = this->Clock.earliestStoreTime(Now);
  KeyPlacement Placement(this->View, Service);

  for (const auto &[Name, Row] : this->View.instances()) {
    bool Own = Name == this->Instance;
    bool Eligible = Row.Service == Service && Row.State == ServerState::Ready &&
                    (!Own || WithSelf) && Placement.mayOwn(Row);
    if (!Eligible) {
      continue;
    }
    if (Own) {
      Found.push_back({this->localOwner(), this->remainingLoad(Now)});
      continue;
    }

    auto Load = StoreTime ? this->PeerLeases.loadIfActive(Name, *StoreTime)
                          : std::optional<double>();
    if (Load) {
      Found.push_back({{Name, Row.Incarnation}, *Load});
    }
  }
  return Found;
}

bool KeyOwnershipManager::tryInitialLayout(TimePoint Now) {
  std::vector<OwnerCandidate> All = this->candidates(true, Now);
  if (All.size() != this->LastCandidateCount) {
    this->LastCandidateCount = All.size();
    this->CandidatesChangedAt = Now;
    this->CandidatesConfirmed = Confirmation::None;
  }

  std::size_t Rank = this->rankInService();
  Duration Unchanged = Now - this->CandidatesChangedAt -
                       SettleTimePerRank * static_cast<int>(Rank);
  bool Confirming = Unchanged >= SettleTime / 2 && !All.empty();
  if (Confirming && this->CandidatesConfirmed == Confirmation::None) {
    this->CandidatesConfirmed = Confirmation::ReadingInstances;
    this->Actions.readInstances();
  }
  if (Unchanged < SettleTime) {
    this->LeaseReadWanted = this->LeaseReadWanted || Rank < LayoutCandidates;
    return false;
  }
  bool Confirmed = this->CandidatesConfirmed == Confirmation::Done;
  bool LeasesEnded = !this->Restored.hasSeenRestoration() ||
                     this->Restored.timeUntilLeasesEnd(Now) == Duration::zero();
  if (All.empty() || !this->mayOwnKeys() || !Confirmed || !LeasesEnded) {
    return false;
  }

  KeyMap Layout = initialLayout(All);
  if (this->mapEra() > 0) {
    Layout.confirmIn(this->mapEra());
  }
  this->writeMap(MapWrite::InitialLayout, Layout, {});
  return true;
}

void KeyOwnershipManager::onInstancesRead(bool Done, TimePoint Now) {
  if (this->CandidatesConfirmed == Confirmation::ReadingInstances) {
    this->CandidatesConfirmed =
        Done ? Confirmation::ReadingLeases : Confirmation::None;
    this->InstancesReadAt = Now;
    this->LeaseReadWanted = true;
  }
  this->tick(Now);
}

std::size_t KeyOwnershipManager::rankInService() const {
  std::size_t Rank = 0;
  KeyPlacement Placement(this->View, this->service());
  for (const auto &[Name, Row] : this->View.instances()) {
    bool Before = Name < this->Instance && Row.Service == this->service() &&
                  Row.State == ServerState::Ready && Placement.mayOwn(Row);
    Rank += Before ? 1 : 0;
  }
  return Rank;
}

Duration KeyOwnershipManager::stretchedForOwners(Duration Interval) const {
  return stretchInterval(Interval, this->View.instances().size(),
                         MaxStretchedLeaseRead);
}

bool KeyOwnershipManager::tryAdoptRun() {
  bool Serving = !this->Leaving && !this->ConnectionRefused &&
                 acceptsRequests(this->Report);
  if (!Serving) {
    return false;
  }

  KeyMap Updated = this->map()->Map;
  bool Changed = false;
  for (const KeyMapEntry &Entry : Updated.entriesOf(this->Instance)) {
    bool Ended = Entry.Owner.Incarnation != this->Report.Incarnation;
    bool Outdated = this->Grants.isTokenOutdated(
        {Entry.Keys, Entry.Token, Entry.HandoverState});
    if (Ended || Outdated) {
      Updated.assign(Entry.Keys, this->localOwner(),
                     Ended ? "" : Entry.HandoverState);
      Changed = true;
    }
  }
  if (Changed) {
    this->writeMap(MapWrite::AdoptRun, Updated, {});
  }
  return Changed;
}

bool KeyOwnershipManager::tryFinishHandovers(TimePoint Now) {
  KeyMap Updated = this->map()->Map;
  return this->Handovers.assignReleased(Updated, Now) &&
         this->writeMapUnderLease(MapWrite::Handover, this->service(), Updated);
}

bool KeyOwnershipManager::tryReassignLostServer(TimePoint Now) {
  std::vector<KeyRange> Lost;
  for (const KeyMapEntry &Entry : this->map()->Map.entriesOf(this->Instance)) {
    Lost.push_back(Entry.Keys);
  }
  if (Lost.empty() || !this->isServerLost(Now)) {
    return false;
  }

  std::vector<OwnerCandidate> Others = this->candidates(false, Now);
  if (Others.empty()) {
    return false;
  }

  KeyMap Updated = this->map()->Map;
  for (const PlannedHandover &Handover :
       distributeEvenly(Updated, Lost, Others)) {
    Updated.assign(Handover.Keys, Handover.Receiver, "");
  }
  if (!this->writeMapUnderLease(MapWrite::ServerLost, this->service(),
                                Updated)) {
    return false;
  }
  this->Handovers.clear();
  this->Actions.onKeyEvent(KeyEvent::ServerLost, countText(Lost));
  return true;
}

bool KeyOwnershipManager::tryGiveUpFormerKeys(TimePoint Now) {
  if (Now < this->FormerGrantsEndAt) {
    return false;
  }

  for (const auto &[Service, Known] : this->View.keyMaps()) {
    std::vector<KeyRange> Former;
    if (Service != this->service() && this->isConfirmed(Known)) {
      for (const KeyMapEntry &Entry : Known.Map.entriesOf(this->Instance)) {
        Former.push_back(Entry.Keys);
      }
    }
    std::vector<OwnerCandidate> Owners =
        Former.empty() ? std::vector<OwnerCandidate>()
                       : this->candidatesOf(Service, false, Now);
    if (Owners.empty()) {
      continue;
    }

    KeyMap Updated = Known.Map;
    for (const PlannedHandover &Handover :
         distributeEvenly(Updated, Former, Owners)) {
      Updated.assign(Handover.Keys, Handover.Receiver, "");
    }
    if (this->writeMapUnderLease(MapWrite::FormerKeys, Service, Updated)) {
      this->Actions.onKeyEvent(KeyEvent::FormerKeysGivenUp,
                               Service + ": " + countText(Former));
      return true;
    }
  }
  return false;
}

std::vector<KeyRange>
KeyOwnershipManager::collectOrphanedKeys(const KeyMap &Map,
                                         TableTransaction &Write) const {
  std::vector<KeyRange> Lost;
  std::set<InstanceId> Closed;

  for (const KeyMapEntry &Entry : Map.entries()) {
    const InstanceId &Owner = Entry.Owner.Instance;
    bool Orphaned = Owner.empty() || this->PeerLeases.hasExpired(Owner);
    if (Owner == this->Instance || !Orphaned) {
      continue;
    }
    Lost.push_back(Entry.Keys);
    if (!Owner.empty() && Closed.insert(Owner).second) {
      this->PeerLeases.appendClose(Owner, Write);
    }
  }
  return Lost;
}

bool KeyOwnershipManager::tryTakeover(TimePoint Now) {
  if (this->Leaving || this->isServerLost(Now)) {
    return false;
  }

  TableTransaction Write;
  KeyMap Updated = this->map()->Map;
  std::vector<KeyRange> Lost = this->collectOrphanedKeys(Updated, Write);
  std::vector<OwnerCandidate> Live = this->candidates(true, Now);
  if (Lost.empty() || Live.empty()) {
    return false;
  }

  for (const PlannedHandover &Handover :
       distributeEvenly(Updated, Lost, Live)) {
    Updated.assign(Handover.Keys, Handover.Receiver, "");
  }
  this->Actions.onKeyEvent(KeyEvent::TakenOver, countText(Lost));
  this->writeMap(MapWrite::Takeover, Updated, std::move(Write));
  return true;
}

bool KeyOwnershipManager::mayOwnKeys() const {
  const InstanceRow *Own = this->View.findInstance(this->Instance);
  return !this->Leaving &&
         (!Own || KeyPlacement(this->View, this->service()).mayOwn(*Own));
}

void KeyOwnershipManager::offerKeys(TimePoint Now) {
  if (!this->mayOwnKeys()) {
    this->startLeavingHandovers(Now);
    return;
  }
  bool Free = !this->Offers.hasPending() && Now >= this->NextOfferAt &&
              this->PeerLeases.hasBeenRead() && !this->isLoadUnclear(Now);
  if (!Free) {
    return;
  }

  std::set<InstanceId> Excluded = this->Offers.excludedReceivers(Now);
  Excluded.merge(this->Handovers.receivers());
  std::vector<OwnerCandidate> All = this->candidates(true, Now);
  double Left = this->remainingLoad(Now);

  for (std::size_t Count = 0; Count < MaxConcurrentOffers; ++Count) {
    auto Choice = chooseReceiver(this->map()->Map, this->localOwner(), All,
                                 Excluded, Left);
    if (!Choice) {
      return;
    }
    const InstanceId &Receiver = Choice->Owner.Instance;
    Excluded.insert(Receiver);
    this->Offers.addPending(Receiver);
    this->NextOfferAt = Now + MinOfferInterval;
    this->Actions.sendOffer(Receiver, Left);
    Left -= loadToMove(Left, Choice->Load);
  }
}

void KeyOwnershipManager::setLoad(double Busy, double Recent, TimePoint Now) {
  double Age =
      this->LoadSetAt
          ? std::chrono::duration<double>(Now - *this->LoadSetAt).count()
          : 0;
  double Weight = this->LoadSetAt ? 1 - std::exp(-Age / SteadyLoadSeconds) : 1;
  this->SteadyLoad += Weight * (Busy - this->SteadyLoad);
  this->LoadSetAt = Now;
  this->OwnLoad = Busy;
  this->RecentLoad = Recent;
  if (Recent <= Busy * RisingLoadFactor) {
    this->LoadRisingSince.reset();
  } else if (!this->LoadRisingSince) {
    this->LoadRisingSince = Now;
  }
}

bool KeyOwnershipManager::isLoadUnclear(TimePoint Now) const {
  return this->LoadRisingSince &&
         Now - *this->LoadRisingSince < RiseMeasuringTime;
}

double KeyOwnershipManager::remainingLoad(TimePoint Now) const {
  // Only a load that is high over a second counts, but its extent is that of
  // the last moment.
  bool High = this->OwnLoad >= MaxLoadAfterAccept;
  double Load = High ? std::max(this->OwnLoad, this->RecentLoad)
                     : std::min(this->OwnLoad, this->SteadyLoad);
  return std::max(Load - this->Offers.outgoingLoad(Now), 0.0);
}

double KeyOwnershipManager::acceptanceLoad() const {
  return std::max(this->OwnLoad, this->SteadyLoad);
}

double KeyOwnershipManager::loadToMove(double GiverLoad, double Load) {
  double Half = std::max(GiverLoad - Load, MinLoadGap) / 2;
  return std::min(Half, std::max(MaxLoadAfterAccept - Load, MinLoadGap / 2));
}

OfferResponse KeyOwnershipManager::onOffer(double GiverLoad, TimePoint Now) {
  double Load = this->acceptanceLoad() + this->Offers.incomingLoad(Now);
  const MeshView::VersionedKeyMap *Known = this->map();
  std::uint32_t Held = Known ? Known->Map.keyCount(this->Instance) : 0;
  bool Empty = Known && Held == 0 && this->Offers.incomingLoad(Now) == 0;
  bool CanAccept = this->HasReport && this->mayOwnKeys() &&
                   !this->ConnectionRefused && this->hasAuthority(Now) &&
                   Known && this->isConfirmed(*Known) &&
                   this->Handovers.empty();
  bool Wanted = Empty || GiverLoad - Load >= MinLoadGap;
  if (!CanAccept || !Wanted) {
    return {false, Load, 0};
  }

  double AcceptedLoad = loadToMove(GiverLoad, Load);
  this->Offers.recordIncoming(AcceptedLoad, Held, Now);
  return {true, Load, AcceptedLoad};
}

void KeyOwnershipManager::onOfferResponse(
    const InstanceId &Receiver, const std::optional<OfferResponse> &Response,
    TimePoint Now) {
  this->Offers.removePending(Receiver);
  if (Response) {
    this->PeerLeases.setLoad(Receiver, Response->Load);
  }
  const InstanceRow *Row = this->View.findInstance(Receiver);
  bool Accepted = Response && Response->Accepted && Row && this->map() &&
                  this->isConfirmed(*this->map()) && !this->Leaving;
  if (!Accepted || !this->tryHandOver(*Row, Response->AcceptedLoad, Now)) {
    this->Offers.recordDecline(Receiver, Now);
  }
}

bool KeyOwnershipManager::tryHandOver(const InstanceRow &Receiver,
                                      double AcceptedLoad, TimePoint Now) {
  std::vector<KeyMapEntry> Free = this->entriesNotInHandover();
  double Total = this->loadOf(Free, Now);
  double Left = this->remainingLoad(Now);
  double Slots = std::max<double>(this->Report.Slots, 1);
  bool Empty = this->map()->Map.keyCount(Receiver.Instance) == 0;

  auto Keys =
      Empty ? selectHalf(Free, this->Loads, Now)
            : selectKeysByLoad(Free, AcceptedLoad * Receiver.Slots / Slots,
                               Left, this->Loads, Now);
  if (!Keys) {
    return false;
  }
  double Share = Total > 0 ? this->Loads.loadOf(*Keys, Now) / Total : 0;
  this->Offers.recordOutgoing(Left * Share, Now);
  this->startHandover({*Keys, {Receiver.Instance, Receiver.Incarnation}}, Now);
  this->Loads.prune(Now);
  return true;
}

std::vector<KeyMapEntry> KeyOwnershipManager::entriesNotInHandover() const {
  return this->Handovers.subtractFrom(
      this->map()->Map.entriesOf(this->Instance));
}

double KeyOwnershipManager::loadOf(const std::vector<KeyMapEntry> &Entries,
                                   TimePoint Now) const {
  double Load = 0;
  for (const KeyMapEntry &Entry : Entries) {
    Load += this->Loads.loadOf(Entry.Keys, Now);
  }
  return Load;
}

void KeyOwnershipManager::startLeavingHandovers(TimePoint Now) {
  std::vector<KeyRange> Rest;
  for (const KeyMapEntry &Entry : this->map()->Map.entriesOf(this->Instance)) {
    if (!this->Handovers.overlaps(Entry.Keys)) {
      Rest.push_back(Entry.Keys);
    }
  }
  std::vector<OwnerCandidate> Others = this->candidates(false, Now);
  if (Rest.empty() || Others.empty()) {
    return;
  }

  const KeyMap &Map = this->map()->Map;
  std::vector<PlannedHandover> Planned =
      this->Leaving ? distributeEvenly(Map, Rest, Others)
                    : distributeBySpareCapacity(Map, Rest, Others, this->Loads,
                                                this->Report.Slots, Now);
  for (const PlannedHandover &Handover : Planned) {
    this->startHandover(Handover, Now);
  }
}

void KeyOwnershipManager::startHandover(const PlannedHandover &Planned,
                                        TimePoint Now) {
  this->NextOfferAt = Now + MinHandoverInterval;
  this->Handovers.start({Planned.Keys,
                         Planned.Receiver,
                         Now,
                         this->Grants.servedUntil(this->reportDue(), Now),
                         this->Grants.heldUntil(Planned.Keys),
                         {},
                         false});
  this->Actions.onKeyEvent(KeyEvent::HandoverBegun,
                           rangeText(Planned.Keys) + " to " +
                               Planned.Receiver.Instance);
}

void KeyOwnershipManager::removeStaleHandovers(TimePoint Now) {
  KeyPlacement Placement(this->View, this->service());
  this->Handovers.removeIf([&](const KeyHandover &Handover) {
    const InstanceRow *Row =
        this->View.findInstance(Handover.Receiver.Instance);
    bool Receives = Row && Row->State == ServerState::Ready &&
                    Placement.mayOwn(*Row) &&
                    Row->Incarnation == Handover.Receiver.Incarnation;
    bool Moved = this->map() &&
                 this->map()->Map.find(Handover.Keys.First).Owner.Instance !=
                     this->Instance;
    bool Stale = !Receives || Now - Handover.StartedAt > HandoverTimeout;
    bool GivenUp = (Moved || Stale) && !this->hasUncertainWrite() &&
                   this->PendingWrite != MapWrite::Handover;
    if (GivenUp && !Moved) {
      this->Actions.onKeyEvent(KeyEvent::HandoverGivenUp,
                               rangeText(Handover.Keys));
    }
    return GivenUp;
  });
}

void KeyOwnershipManager::writeMap(MapWrite Kind, const KeyMap &Updated,
                                   TableTransaction Write) {
  this->writeMapOf(Kind, this->service(), Updated, std::move(Write));
}

void KeyOwnershipManager::writeMapOf(MapWrite Kind, const std::string &Service,
                                     const KeyMap &Updated,
                                     TableTransaction Write) {
  const MeshView::VersionedKeyMap *Known = this->View.findKeyMap(Service);
  std::string Key = MeshView::keyMapKey(Service);

  this->PendingWrite = Kind;
  this->NewOwners = newOwners(Known ? &Known->Map : nullptr, Updated);
  this->NewOwners.erase(this->Instance);
  Write.Conditions.push_back({Key, Known ? Known->Version : 0});
  KeyMap Written = Updated;
  if (std::uint64_t Era = Known ? eraOf(Known->Version) : this->mapEra()) {
    Written.setEra(Era);
  }
  Write.Writes.push_back({Key, Written.toText()});
  this->Actions.commitMap(Write);
}

bool KeyOwnershipManager::writeMapUnderLease(MapWrite Kind,
                                             const std::string &Service,
                                             const KeyMap &Updated) {
  auto Version = this->Lease.version();
  if (!Version) {
    return false;
  }

  // The condition on the lease row keeps a delayed write from taking effect
  // under a later lease, when the keys may have been granted here again.
  TableTransaction Write;
  Write.Conditions.push_back({KeyLeaseRow::key(this->Instance), *Version});
  this->UncertainWriteLease = Version;
  this->UncertainServerLoss = Kind == MapWrite::ServerLost;
  this->writeMapOf(Kind, Service, Updated, std::move(Write));
  return true;
}

bool KeyOwnershipManager::hasUncertainWrite() const {
  return this->UncertainWriteLease.has_value();
}

void KeyOwnershipManager::resolveUncertainWrite() {
  if (!this->UncertainWriteLease || this->PendingWrite != MapWrite::None) {
    return;
  }

  auto Version = this->Lease.version();
  if (!Version) {
    return;
  }
  if (*Version <= *this->UncertainWriteLease) {
    this->Lease.requestRenewal();
    return;
  }
  if (this->View.keysReadVersion() >= *Version) {
    this->UncertainWriteLease.reset();
  }
}

Duration KeyOwnershipManager::nextWriteRetryDelay() {
  Duration Longest = WriteRetryDelay * (1 << std::min(this->FailedWrites,
                                                      MaxWriteRetryDoublings));
  ++this->FailedWrites;
  if (this->FailedWrites == 1) {
    return Longest;
  }
  std::uniform_real_distribution<double> Share(0, 1);
  return std::chrono::duration_cast<Duration>(Longest * Share(this->Random));
}

void KeyOwnershipManager::onMapCommit(const StoreCommit &Commit,
                                      TimePoint Now) {
  MapWrite Kind = this->PendingWrite;
  this->PendingWrite = MapWrite::None;
  if (Commit.Result.Outcome != CommitOutcome::Unknown) {
    this->UncertainWriteLease.reset();
  }

  if (Commit.Result.Outcome != CommitOutcome::Committed) {
    this->Actions.onKeyEvent(KeyEvent::WriteFailed,
                             nameOf(Commit.Result.Outcome));
    this->WriteRetryAt = Now + this->nextWriteRetryDelay();
    this->LeaseReadWanted = this->LeaseReadWanted || Kind == MapWrite::Takeover;
    bool RowReturned = Commit.Result.Outcome == CommitOutcome::Conflict &&
                       !Commit.Current.empty();
    if (!RowReturned && Commit.Result.Outcome != CommitOutcome::NotRun) {
      this->LastKeysReadAt = Now;
      this->Actions.readKeys();
    }
    return;
  }

  this->FailedWrites = 0;
  this->Actions.notifyOwners(this->NewOwners);
  switch (Kind) {
  case MapWrite::InitialLayout:
    this->Actions.onKeyEvent(KeyEvent::FirstLayout, "");
    break;
  case MapWrite::AdoptRun:
    this->Actions.onKeyEvent(KeyEvent::RunAdopted, this->Report.Incarnation.Id);
    break;
  case MapWrite::Handover:
    this->Handovers.removeWritten();
    this->Actions.onKeyEvent(KeyEvent::HandoverDone, "");
    break;
  case MapWrite::Takeover:
    this->LeaseReadWanted = true;
    break;
  case MapWrite::Confirmation:
    this->Actions.onKeyEvent(KeyEvent::MapConfirmed, "");
    break;
  case MapWrite::ServerLost:
  case MapWrite::FormerKeys:
  case MapWrite::None:
    break;
  }
  this->tick(Now);
}

} // namespace hemlockspar
