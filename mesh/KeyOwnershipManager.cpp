#include "mesh/KeyOwnershipManager.h"

#include "core/EnumNames.h"

#include <algorithm>

namespace hemlockspar {

namespace {

constexpr std::array<const char *, 10> KeyEventNames = {
    "first_layout",   "lease_lost",    "lease_held",        "run_adopted",
    "handover_begun", "handover_done", "handover_given_up", "server_lost",
    "taken_over",     "write_failed"};

/// A grant outlasts this many heartbeats, so that three reports in a row may
/// be late before requests are turned away.
constexpr int HeartbeatsPerHold = 4;

/// No report for this many heartbeats means that the backend server is lost or
/// cut off.
constexpr int HeartbeatsToLoss = 3;

/// The backend server's clock may run this much slower than ours.
constexpr double SlowestClock = 1.0 + StoreClock::Drift;

/// A grant ends this long before the lease, for the way of the answer.
constexpr auto GrantMargin = std::chrono::milliseconds(30);

/// Grants shorter than this are not worth an answer.
constexpr auto ShortestHold = std::chrono::milliseconds(150);

/// The first layout waits until no instance has joined for this long: all
/// start within a moment, and whoever comes later has to be moved keys to.
constexpr auto SettleTime = std::chrono::milliseconds(1300);

/// Later instances wait this much longer each, so that one writes the layout.
constexpr auto SettleStep = std::chrono::milliseconds(400);

/// Between two readings of the leases: a reading is a priced call.
constexpr auto LeaseReadPause = std::chrono::milliseconds(700);

/// Without a reason the leases are read this often, for the owners' loads and
/// for owners that are gone.
constexpr auto LeaseReadInterval = std::chrono::milliseconds(5000);

constexpr auto KeysReadPause = std::chrono::milliseconds(300);

/// Between two offers of one owner when the first was turned down.
constexpr auto OfferPause = std::chrono::milliseconds(300);

/// Instances asked at once: a third of a service's requests on a few keys of
/// one owner has to go to several others.
constexpr std::size_t MostOffers = 8;

/// An instance takes keys until it is about this busy; above it requests wait.
constexpr double TakesUpTo = 0.85;

/// While a handover is prepared the keys are served on until this long before
/// the backend server's next report is due: runs under way end meanwhile, and
/// it can let go of the keys at once.
constexpr auto DrainAhead = std::chrono::milliseconds(300);

/// The least difference in load for which keys are taken.
constexpr double LeastGap = 0.25;

/// Between two gifts of one owner, so that the effect of one shows in the load
/// before the next is weighed.
constexpr auto GiftPause = std::chrono::milliseconds(1000);

/// Requests that still run keep a handover waiting; after this long the keys
/// stay where they are.
constexpr auto GiftPatience = std::chrono::seconds(8);

/// Pause after a write of the map that failed.
constexpr auto WriteRetryPause = std::chrono::milliseconds(60);

std::string countText(const std::vector<KeySpan> &Spans) {
  std::uint32_t Keys = 0;
  for (const KeySpan &Span : Spans) {
    Keys += Span.size();
  }
  return std::to_string(Keys) + " keys in " + std::to_string(Spans.size()) +
         " spans";
}

std::string spanText(const KeySpan &Keys) {
  return std::to_string(Keys.From) + ".." + std::to_string(Keys.To);
}

/// Who has keys by \p Fresh under tokens that \p Before did not have.
std::set<InstanceId> newOwners(const KeyMap *Before, const KeyMap &Fresh) {
  FencingToken Last = 0;
  for (const KeyMapEntry &Entry :
       Before ? Before->entries() : std::vector<KeyMapEntry>()) {
    Last = std::max(Last, Entry.Token);
  }

  std::set<InstanceId> Owners;
  for (const KeyMapEntry &Entry : Fresh.entries()) {
    if (Entry.Token > Last) {
      Owners.insert(Entry.Owner.Instance);
    }
  }
  return Owners;
}

bool isSound(const ServerReport &Report) { return !Report.Leaving; }

} // namespace

const char *nameOf(KeyEvent Event) { return nameIn(KeyEventNames, Event); }

KeyOwnershipManager::KeyOwnershipManager(const InstanceId &Instance,
                                         std::uint64_t Process, Options Bounds,
                                         const MeshView &View,
                                         KeyOwnershipActions &Actions,
                                         TimePoint Now)
    : Instance(Instance), Opts(Bounds), View(View), Actions(Actions),
      Lease(Instance, Process, {}), LastReportAt(Now),
      HoldExpiresAt(Now + std::chrono::duration_cast<Duration>(
                              this->holdTime() * SlowestClock)),
      CandidatesChangedAt(Now) {}

Duration KeyOwnershipManager::holdTime() const {
  return std::min(this->Opts.Heartbeat * HeartbeatsPerHold,
                  this->Opts.MaxHoldTime);
}

const MeshView::VersionedKeyMap *KeyOwnershipManager::map() const {
  return this->View.findKeyMap(this->service());
}

bool KeyOwnershipManager::hasAuthority(TimePoint Now) const {
  return this->Lease.isHeld(Now) &&
         this->View.keysReadVersion() >= this->Lease.continuousSince();
}

bool KeyOwnershipManager::isServerLost(TimePoint Now) const {
  bool Silent =
      Now - this->LastReportAt > this->Opts.Heartbeat * HeartbeatsToLoss;
  return (this->ConnectionRefused || Silent) && Now >= this->HoldExpiresAt;
}

// The backend server

void KeyOwnershipManager::onReport(const ServerReport &Report, TimePoint Now) {
  bool NewRun = this->HasReport && Report.Run != this->Report.Run;
  if (NewRun) {
    // The run before it is gone, and what it held with it.
    this->HoldExpiresAt = Now;
    this->Granted.clear();
    this->Handovers.clear();
    this->Leaving = false;
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
    this->HoldExpiresAt = Now;
    this->Granted.clear();
    this->tick(Now);
  }
}

std::optional<KeyGrants>
KeyOwnershipManager::computeGrants(TimePoint ReceivedAt, TimePoint Now) const {
  const MeshView::VersionedKeyMap *Known = this->map();
  bool Doubtful = this->hasUncertainWrite() && this->UncertainServerLoss;
  if (!this->HasReport || !Known || Doubtful || !this->hasAuthority(Now)) {
    return std::nullopt;
  }

  auto UnderLease = std::chrono::duration_cast<Duration>(
      (this->Lease.expiresAt() - GrantMargin - ReceivedAt) / SlowestClock);
  Duration Hold = std::min(this->holdTime(), UnderLease);
  if (Hold < ShortestHold) {
    return std::nullopt;
  }

  KeyGrants Answer;
  Answer.HoldTime = std::chrono::milliseconds(toMilliseconds(Hold));
  for (const KeyMapEntry &Entry : this->entriesNotInHandover()) {
    if (Entry.Owner == this->localOwner()) {
      Answer.Granted.push_back({Entry.Keys, Entry.Token, Entry.HandoverState});
    }
  }
  return Answer;
}

std::optional<KeyGrants> KeyOwnershipManager::issueGrants(TimePoint ReceivedAt,
                                                          TimePoint Now) {
  auto Answer = this->computeGrants(ReceivedAt, Now);
  if (!Answer) {
    return std::nullopt;
  }

  this->Granted = Answer->Granted;
  this->GrantedUntil = ReceivedAt + Answer->HoldTime;
  this->HoldExpiresAt = std::max(
      this->HoldExpiresAt, ReceivedAt + std::chrono::duration_cast<Duration>(
                                            Answer->HoldTime * SlowestClock));
  return Answer;
}

bool KeyOwnershipManager::canServe(KeyNumber Key, TimePoint Now) const {
  bool Held = std::any_of(
      this->Granted.begin(), this->Granted.end(),
      [&](const GrantedKeys &Keys) { return Keys.Keys.contains(Key); });
  return Held && Now < this->GrantedUntil &&
         !this->Handovers.isDraining(Key, Now);
}

bool KeyOwnershipManager::isOwnedHere(KeyNumber Key) const {
  const MeshView::VersionedKeyMap *Known = this->map();
  return Known && !this->ConnectionRefused &&
         Known->Map.find(Key).Owner.Instance == this->Instance;
}

Duration KeyOwnershipManager::estimatedWait(KeyNumber Key,
                                            TimePoint Now) const {
  Duration Heartbeat = this->Opts.Heartbeat;
  Duration Next = std::max<Duration>(this->LastReportAt + Heartbeat - Now,
                                     Duration::zero());

  // The next owner's backend server has to report, too.
  return this->Handovers.overlaps({Key, Key}) ? Next + Heartbeat / 2 : Next;
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
  const TableRow *Own = nullptr;
  for (const TableRow &Row : Rows->Rows) {
    bool Readable = Row.Value && KeyLeaseRow::fromText(*Row.Value);
    bool Mine = Row.Key == KeyLeaseRow::key(this->Instance);
    Own = Mine && Readable ? &Row : Own;
  }

  this->Lease.onRow(Own, this->Clock);
  this->tick(Now);
}

void KeyOwnershipManager::updateLease(TimePoint Now) {
  bool Wanted = this->LeaseReadWanted || this->Lease.needsRead() ||
                Now >= this->LeaseReadDueAt;
  if (Wanted && !this->LeaseReadPending && Now >= this->NextLeaseReadAt) {
    this->LeaseReadPending = true;
    this->NextLeaseReadAt = Now + LeaseReadPause;
    this->LeaseReadDueAt = Now + LeaseReadInterval;
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
  bool Doubtful = this->UncertainWriteLease && Version &&
                  *Version > *this->UncertainWriteLease &&
                  this->View.keysReadVersion() < *Version;
  bool TooOld = Holds && (Doubtful || this->View.keysReadVersion() <
                                          this->Lease.continuousSince());
  if (TooOld && Now >= this->LastKeysReadAt + KeysReadPause) {
    this->LastKeysReadAt = Now;
    this->Actions.readKeys();
  }
}

// The map of owners

void KeyOwnershipManager::tick(TimePoint Now) {
  this->updateLease(Now);
  if (this->HasReport && this->hasAuthority(Now)) {
    this->updateMap(Now);
  }
}

void KeyOwnershipManager::updateMap(TimePoint Now) {
  this->resolveUncertainWrite();
  this->removeStaleHandovers(Now);

  bool Free = this->PendingWrite == MapWrite::None &&
              !this->hasUncertainWrite() && Now >= this->WriteRetryAt;
  if (!Free) {
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

std::vector<OwnerCandidate>
KeyOwnershipManager::candidates(bool WithSelf, TimePoint Now) const {
  std::vector<OwnerCandidate> Found;
  auto StoreTime = this->Clock.earliest(Now);

  for (const auto &[Name, Row] : this->View.instances()) {
    bool Own = Name == this->Instance;
    bool Fits = Row.Service == this->service() &&
                Row.State == ServerState::Ready && (!Own || WithSelf);
    if (!Fits) {
      continue;
    }
    if (Own) {
      Found.push_back({this->localOwner(), this->remainingLoad(Now)});
      continue;
    }

    auto Load = StoreTime ? this->PeerLeases.loadIfActive(Name, *StoreTime)
                          : std::optional<double>();
    if (Load) {
      Found.push_back({{Name, Row.Run}, *Load});
    }
  }
  return Found;
}

bool KeyOwnershipManager::tryInitialLayout(TimePoint Now) {
  std::vector<OwnerCandidate> All = this->candidates(true, Now);
  if (All.size() != this->LastCandidateCount) {
    this->LastCandidateCount = All.size();
    this->CandidatesChangedAt = Now;
  }

  std::size_t Rank = 0;
  for (const OwnerCandidate &Member : All) {
    Rank += Member.Owner.Instance < this->Instance ? 1 : 0;
  }
  bool Settled = Now - this->CandidatesChangedAt >=
                 SettleTime + SettleStep * static_cast<int>(Rank);
  if (!Settled) {
    this->LeaseReadWanted = true;
    return false;
  }
  if (All.empty() || this->Leaving) {
    return false;
  }

  this->writeMap(MapWrite::InitialLayout, initialLayout(All), {});
  return true;
}

bool KeyOwnershipManager::tryAdoptRun() {
  bool Serving =
      !this->Leaving && !this->ConnectionRefused && isSound(this->Report);
  if (!Serving) {
    return false;
  }

  KeyMap Fresh = this->map()->Map;
  bool Changed = false;
  for (const KeyMapEntry &Entry : Fresh.entriesOf(this->Instance)) {
    if (Entry.Owner.Run != this->Report.Run) {
      Fresh.assign(Entry.Keys, this->localOwner(), "");
      Changed = true;
    }
  }
  if (Changed) {
    this->writeMap(MapWrite::AdoptRun, Fresh, {});
  }
  return Changed;
}

bool KeyOwnershipManager::tryFinishHandovers(TimePoint Now) {
  KeyMap Fresh = this->map()->Map;
  return this->Handovers.assignReleased(Fresh, Now) &&
         this->writeMapUnderLease(MapWrite::Handover, Fresh);
}

bool KeyOwnershipManager::tryReassignLostServer(TimePoint Now) {
  std::vector<KeySpan> Lost;
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

  KeyMap Fresh = this->map()->Map;
  for (const PlannedHandover &Given : distributeEvenly(Fresh, Lost, Others)) {
    Fresh.assign(Given.Keys, Given.Receiver, "");
  }
  if (!this->writeMapUnderLease(MapWrite::ServerLost, Fresh)) {
    return false;
  }
  this->Handovers.clear();
  this->Actions.onKeyEvent(KeyEvent::ServerLost, countText(Lost));
  return true;
}

std::vector<KeySpan>
KeyOwnershipManager::collectOrphanedKeys(const KeyMap &Map,
                                         TableTransaction &Write) const {
  std::vector<KeySpan> Lost;
  std::set<InstanceId> Closed;

  for (const KeyMapEntry &Entry : Map.entries()) {
    const InstanceId &Holder = Entry.Owner.Instance;
    bool Ended = Holder.empty() || this->PeerLeases.hasExpired(Holder);
    if (Holder == this->Instance || !Ended) {
      continue;
    }
    Lost.push_back(Entry.Keys);
    if (!Holder.empty() && Closed.insert(Holder).second) {
      this->PeerLeases.appendClose(Holder, Write);
    }
  }
  return Lost;
}

bool KeyOwnershipManager::tryTakeover(TimePoint Now) {
  if (this->Leaving || this->isServerLost(Now)) {
    return false;
  }

  TableTransaction Write;
  KeyMap Fresh = this->map()->Map;
  std::vector<KeySpan> Lost = this->collectOrphanedKeys(Fresh, Write);
  std::vector<OwnerCandidate> Live = this->candidates(true, Now);
  if (Lost.empty() || Live.empty()) {
    return false;
  }

  for (const PlannedHandover &Given : distributeEvenly(Fresh, Lost, Live)) {
    Fresh.assign(Given.Keys, Given.Receiver, "");
  }
  this->Actions.onKeyEvent(KeyEvent::TakenOver, countText(Lost));
  this->writeMap(MapWrite::Takeover, Fresh, std::move(Write));
  return true;
}

void KeyOwnershipManager::offerKeys(TimePoint Now) {
  if (this->Leaving) {
    this->startLeavingHandovers(Now);
    return;
  }
  bool Free = !this->Offers.hasPending() && Now >= this->NextOfferAt &&
              this->PeerLeases.hasBeenRead();
  if (!Free) {
    return;
  }

  std::set<InstanceId> LeftAlone = this->Offers.excludedReceivers(Now);
  LeftAlone.merge(this->Handovers.receivers());
  std::vector<OwnerCandidate> All = this->candidates(true, Now);
  double Left = this->remainingLoad(Now);

  for (std::size_t Count = 0; Count < MostOffers; ++Count) {
    auto Choice = chooseReceiver(this->map()->Map, this->localOwner(), All,
                                 LeftAlone, Left);
    if (!Choice) {
      return;
    }
    const InstanceId &Receiver = Choice->Owner.Instance;
    LeftAlone.insert(Receiver);
    this->Offers.addPending(Receiver);
    this->NextOfferAt = Now + OfferPause;
    this->Actions.sendOffer(Receiver, Left);
    Left -= loadToMove(Left, Choice->Load);
  }
}

double KeyOwnershipManager::remainingLoad(TimePoint Now) const {
  return std::max(this->OwnLoad - this->Offers.outgoingLoad(Now), 0.0);
}

double KeyOwnershipManager::loadToMove(double GiverLoad, double Load) {
  double Half = std::max(GiverLoad - Load, LeastGap) / 2;
  return std::min(Half, std::max(TakesUpTo - Load, LeastGap / 2));
}

OfferResponse KeyOwnershipManager::onOffer(double GiverLoad, TimePoint Now) {
  double Load = this->OwnLoad + this->Offers.incomingLoad(Now);
  const MeshView::VersionedKeyMap *Known = this->map();
  std::uint32_t Held = Known ? Known->Map.keyCount(this->Instance) : 0;
  bool Empty = Known && Held == 0 && this->Offers.incomingLoad(Now) == 0;
  bool Able = this->HasReport && !this->Leaving && !this->ConnectionRefused &&
              this->hasAuthority(Now) && this->Handovers.empty();
  bool Wanted = Empty || GiverLoad - Load >= LeastGap;
  if (!Able || !Wanted) {
    return {false, Load, 0};
  }

  double Part = loadToMove(GiverLoad, Load);
  this->Offers.recordIncoming(Part, Held, Now);
  return {true, Load, Part};
}

void KeyOwnershipManager::onOfferResponse(
    const InstanceId &Receiver, const std::optional<OfferResponse> &Answer,
    TimePoint Now) {
  this->Offers.removePending(Receiver);
  if (Answer) {
    this->PeerLeases.setLoad(Receiver, Answer->Load);
  }
  const InstanceRow *Row = this->View.findInstance(Receiver);
  bool Taken =
      Answer && Answer->Accepted && Row && this->map() && !this->Leaving;
  if (!Taken || !this->tryHandOver(*Row, Answer->AcceptedLoad, Now)) {
    this->Offers.recordDecline(Receiver, Now);
  }
}

bool KeyOwnershipManager::tryHandOver(const InstanceRow &Receiver, double Part,
                                      TimePoint Now) {
  std::vector<KeyMapEntry> Free = this->entriesNotInHandover();
  double Total = this->loadOf(Free, Now);
  double Left = this->remainingLoad(Now);
  double Slots = std::max<double>(this->Report.Slots, 1);
  bool Empty = this->map()->Map.keyCount(Receiver.Instance) == 0;

  auto Keys = Empty ? selectHalf(Free, this->Loads, Now)
                    : selectKeysByLoad(Free, Part * Receiver.Slots / Slots,
                                       Left, this->Loads, Now);
  if (!Keys) {
    return false;
  }
  double Share = Total > 0 ? this->Loads.loadOf(*Keys, Now) / Total : 0;
  this->Offers.recordOutgoing(Left * Share, Now);
  this->startHandover({*Keys, {Receiver.Instance, Receiver.Run}}, Now);
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
  std::vector<KeySpan> Rest;
  for (const KeyMapEntry &Entry : this->map()->Map.entriesOf(this->Instance)) {
    if (!this->Handovers.overlaps(Entry.Keys)) {
      Rest.push_back(Entry.Keys);
    }
  }
  std::vector<OwnerCandidate> Others = this->candidates(false, Now);
  if (Rest.empty() || Others.empty()) {
    return;
  }

  for (const PlannedHandover &Planned :
       distributeEvenly(this->map()->Map, Rest, Others)) {
    this->startHandover(Planned, Now);
  }
}

void KeyOwnershipManager::startHandover(const PlannedHandover &Planned,
                                        TimePoint Now) {
  this->NextOfferAt = Now + GiftPause;
  TimePoint ReportDue = this->LastReportAt + this->Opts.Heartbeat;
  this->Handovers.start({Planned.Keys,
                         Planned.Receiver,
                         Now,
                         ReportDue - DrainAhead,
                         this->HoldExpiresAt,
                         {},
                         false});
  this->Actions.onKeyEvent(KeyEvent::HandoverBegun,
                           spanText(Planned.Keys) + " to " +
                               Planned.Receiver.Instance);
}

void KeyOwnershipManager::removeStaleHandovers(TimePoint Now) {
  this->Handovers.removeIf([&](const KeyHandover &Given) {
    const InstanceRow *Row = this->View.findInstance(Given.Receiver.Instance);
    bool Receives = Row && Row->State == ServerState::Ready &&
                    Row->Run == Given.Receiver.Run;
    bool Moved =
        this->map() &&
        this->map()->Map.find(Given.Keys.From).Owner.Instance != this->Instance;
    bool Stale = !Receives || Now - Given.StartedAt > GiftPatience;
    bool GivenUp = (Moved || Stale) && !this->hasUncertainWrite() &&
                   this->PendingWrite != MapWrite::Handover;
    if (GivenUp && !Moved) {
      this->Actions.onKeyEvent(KeyEvent::HandoverGivenUp, spanText(Given.Keys));
    }
    return GivenUp;
  });
}

void KeyOwnershipManager::writeMap(MapWrite Kind, const KeyMap &Fresh,
                                   TableTransaction Write) {
  const MeshView::VersionedKeyMap *Known = this->map();
  std::string Key = MeshView::keyMapKey(this->service());

  this->PendingWrite = Kind;
  this->NewOwners = newOwners(Known ? &Known->Map : nullptr, Fresh);
  this->NewOwners.erase(this->Instance);
  Write.Conditions.push_back({Key, Known ? Known->Version : 0});
  Write.Writes.push_back({Key, Fresh.toText()});
  this->Actions.commitMap(Write);
}

bool KeyOwnershipManager::writeMapUnderLease(MapWrite Kind,
                                             const KeyMap &Fresh) {
  auto Version = this->Lease.version();
  if (!Version) {
    return false;
  }

  // Bound to the lease's row, the write cannot be done late under a later
  // lease, when the keys may have been granted here again.
  TableTransaction Write;
  Write.Conditions.push_back({KeyLeaseRow::key(this->Instance), *Version});
  this->UncertainWriteLease = Version;
  this->UncertainServerLoss = Kind == MapWrite::ServerLost;
  this->writeMap(Kind, Fresh, std::move(Write));
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
    this->WriteRetryAt = Now + WriteRetryPause;
    this->LeaseReadWanted = this->LeaseReadWanted || Kind == MapWrite::Takeover;
    bool Told = Commit.Result.Outcome == CommitOutcome::Conflict &&
                !Commit.Current.empty();
    if (!Told && Commit.Result.Outcome != CommitOutcome::NotRun) {
      this->LastKeysReadAt = Now;
      this->Actions.readKeys();
    }
    return;
  }

  this->Actions.notifyOwners(this->NewOwners);
  switch (Kind) {
  case MapWrite::InitialLayout:
    this->Actions.onKeyEvent(KeyEvent::FirstLayout, "");
    break;
  case MapWrite::AdoptRun:
    this->Actions.onKeyEvent(KeyEvent::RunAdopted, this->Report.Run.Id);
    break;
  case MapWrite::Handover:
    this->Handovers.removeWritten();
    this->Actions.onKeyEvent(KeyEvent::HandoverDone, "");
    break;
  case MapWrite::Takeover:
    this->LeaseReadWanted = true;
    break;
  case MapWrite::ServerLost:
  case MapWrite::None:
    break;
  }
  this->tick(Now);
}

} // namespace hemlockspar
