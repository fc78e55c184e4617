#include "mesh/KeyKeeper.h"

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
  for (const OwnedKeys &Entry :
       Before ? Before->entries() : std::vector<OwnedKeys>()) {
    Last = std::max(Last, Entry.Token);
  }

  std::set<InstanceId> Owners;
  for (const OwnedKeys &Entry : Fresh.entries()) {
    if (Entry.Token > Last) {
      Owners.insert(Entry.Holder.Instance);
    }
  }
  return Owners;
}

bool isSound(const ServerReport &Report) { return !Report.Leaving; }

} // namespace

const char *nameOf(KeyEvent Event) { return enumName(KeyEventNames, Event); }

KeyKeeper::KeyKeeper(const InstanceId &Instance, std::uint64_t Process,
                     Terms Bounds, const MeshView &View,
                     KeyKeeperActions &Actions, TimePoint Now)
    : Instance(Instance), Bounds(Bounds), View(View), Actions(Actions),
      Lease(Instance, Process, {}), ReportedAt(Now),
      HoldEnd(Now + std::chrono::duration_cast<Duration>(this->holdTime() *
                                                         SlowestClock)),
      MembersChangedAt(Now) {}

Duration KeyKeeper::holdTime() const {
  return std::min(this->Bounds.Heartbeat * HeartbeatsPerHold,
                  this->Bounds.LongestHold);
}

const MeshView::VersionedKeyMap *KeyKeeper::map() const {
  return this->View.findKeyMap(this->service());
}

bool KeyKeeper::mayAct(TimePoint Now) const {
  return this->Lease.holds(Now) &&
         this->View.keysReadAt() >= this->Lease.unbrokenSince();
}

bool KeyKeeper::serverLost(TimePoint Now) const {
  bool Silent =
      Now - this->ReportedAt > this->Bounds.Heartbeat * HeartbeatsToLoss;
  return (this->Refused || Silent) && Now >= this->HoldEnd;
}

// The backend server

void KeyKeeper::onReport(const ServerReport &Report, TimePoint Now) {
  bool NewRun = this->Reported && Report.Run != this->Report.Run;
  if (NewRun) {
    // The run before it is gone, and what it held with it.
    this->HoldEnd = Now;
    this->Granted.clear();
    this->Gifts.clear();
    this->Leaving = false;
  }

  this->Report = Report;
  this->Reported = true;
  this->Refused = false;
  this->ReportedAt = Now;
  this->Leaving = this->Leaving || Report.Leaving;
  this->Gifts.noteReleases(Report.Released);
  this->tick(Now);
}

void KeyKeeper::onLeaving(TimePoint Now) {
  this->Leaving = true;
  this->tick(Now);
}

void KeyKeeper::onServerRefused(TimePoint Now) {
  if (!this->Refused) {
    this->Refused = true;
    this->HoldEnd = Now;
    this->Granted.clear();
    this->tick(Now);
  }
}

std::optional<KeyGrants> KeyKeeper::planGrants(TimePoint ReceivedAt,
                                               TimePoint Now) const {
  const MeshView::VersionedKeyMap *Known = this->map();
  bool Doubtful = this->inDoubt() && this->DoubtfulLoss;
  if (!this->Reported || !Known || Doubtful || !this->mayAct(Now)) {
    return std::nullopt;
  }

  auto UnderLease = std::chrono::duration_cast<Duration>(
      (this->Lease.endsAt() - GrantMargin - ReceivedAt) / SlowestClock);
  Duration Hold = std::min(this->holdTime(), UnderLease);
  if (Hold < ShortestHold) {
    return std::nullopt;
  }

  KeyGrants Answer;
  Answer.HoldTime = std::chrono::milliseconds(toMilliseconds(Hold));
  for (const OwnedKeys &Entry : this->keysNotGiven()) {
    if (Entry.Holder == this->self()) {
      Answer.Granted.push_back({Entry.Keys, Entry.Token, Entry.Handover});
    }
  }
  return Answer;
}

std::optional<KeyGrants> KeyKeeper::grant(TimePoint ReceivedAt, TimePoint Now) {
  auto Answer = this->planGrants(ReceivedAt, Now);
  if (!Answer) {
    return std::nullopt;
  }

  this->Granted = Answer->Granted;
  this->GrantedUntil = ReceivedAt + Answer->HoldTime;
  this->HoldEnd = std::max(this->HoldEnd,
                           ReceivedAt + std::chrono::duration_cast<Duration>(
                                            Answer->HoldTime * SlowestClock));
  return Answer;
}

bool KeyKeeper::serves(KeyNumber Key, TimePoint Now) const {
  bool Held = std::any_of(
      this->Granted.begin(), this->Granted.end(),
      [&](const GrantedKeys &Keys) { return Keys.Keys.contains(Key); });
  return Held && Now < this->GrantedUntil && !this->Gifts.isDraining(Key, Now);
}

bool KeyKeeper::expects(KeyNumber Key) const {
  const MeshView::VersionedKeyMap *Known = this->map();
  return Known && !this->Refused &&
         Known->Map.find(Key).Holder.Instance == this->Instance;
}

Duration KeyKeeper::expectedIn(KeyNumber Key, TimePoint Now) const {
  Duration Heartbeat = this->Bounds.Heartbeat;
  Duration Next =
      std::max<Duration>(this->ReportedAt + Heartbeat - Now, Duration::zero());

  // The next owner's backend server has to report, too.
  return this->Gifts.concerns({Key, Key}) ? Next + Heartbeat / 2 : Next;
}

// The lease

void KeyKeeper::onLeaseCommit(const StoreCommit &Commit, TimePoint SentAt,
                              TimePoint Now) {
  if (Commit.StoreClock) {
    this->Clock.observe(*Commit.StoreClock, SentAt, Now);
  }
  this->Lease.onCommit(Commit, this->Clock, Now);
  this->tick(Now);
}

void KeyKeeper::onLeases(const std::optional<StoreRows> &Rows, TimePoint SentAt,
                         TimePoint Now) {
  this->LeasesAsked = false;
  if (!Rows) {
    return;
  }
  if (Rows->StoreClock) {
    this->Clock.observe(*Rows->StoreClock, SentAt, Now);
  }

  this->LeasesWanted = false;
  this->Leases.take(*Rows);
  const TableRow *Own = nullptr;
  for (const TableRow &Row : Rows->Rows) {
    bool Readable = Row.Value && KeyLease::fromText(*Row.Value);
    bool Mine = Row.Key == KeyLease::key(this->Instance);
    Own = Mine && Readable ? &Row : Own;
  }

  this->Lease.onRow(Own, this->Clock);
  this->tick(Now);
}

void KeyKeeper::tendLease(TimePoint Now) {
  bool Wanted =
      this->LeasesWanted || this->Lease.needsRead() || Now >= this->LeasesDueAt;
  if (Wanted && !this->LeasesAsked && Now >= this->NextLeasesAt) {
    this->LeasesAsked = true;
    this->NextLeasesAt = Now + LeaseReadPause;
    this->LeasesDueAt = Now + LeaseReadInterval;
    this->Actions.readLeases();
  }

  if (auto Write = this->Lease.takeDue(this->Clock, this->OwnLoad, Now)) {
    this->Actions.commitLease(*Write);
  }

  bool Holds = this->Lease.holds(Now);
  if (Holds != this->LeaseHeld) {
    this->LeaseHeld = Holds;
    this->Actions.decided(Holds ? KeyEvent::LeaseHeld : KeyEvent::LeaseLost,
                          "");
  }

  auto Version = this->Lease.version();
  bool Doubtful = this->DoubtfulFrom && Version &&
                  *Version > *this->DoubtfulFrom &&
                  this->View.keysReadAt() < *Version;
  bool TooOld = Holds && (Doubtful || this->View.keysReadAt() <
                                          this->Lease.unbrokenSince());
  if (TooOld && Now >= this->KeysAskedAt + KeysReadPause) {
    this->KeysAskedAt = Now;
    this->Actions.readKeys();
  }
}

// The map of owners

void KeyKeeper::tick(TimePoint Now) {
  this->tendLease(Now);
  if (this->Reported && this->mayAct(Now)) {
    this->tendMap(Now);
  }
}

void KeyKeeper::tendMap(TimePoint Now) {
  this->settleDoubt();
  this->dropStaleGifts(Now);

  bool Free = this->Writing == MapWrite::None && !this->inDoubt() &&
              Now >= this->WriteRetryAt;
  if (!Free) {
    return;
  }
  if (!this->map()) {
    this->tryFirstLayout(Now);
    return;
  }
  if (this->tryAdopt() || this->tryFinishGifts(Now) ||
      this->tryGiveUpServer(Now) || this->tryTakeover(Now)) {
    return;
  }
  this->planGifts(Now);
}

std::vector<KeyMember> KeyKeeper::members(bool WithSelf, TimePoint Now) const {
  std::vector<KeyMember> Found;
  auto StoreTime = this->Clock.earliest(Now);

  for (const auto &[Name, Row] : this->View.instances()) {
    bool Own = Name == this->Instance;
    bool Fits = Row.Service == this->service() &&
                Row.State == ServerState::Ready && (!Own || WithSelf);
    if (!Fits) {
      continue;
    }
    if (Own) {
      Found.push_back({this->self(), this->loadLeft(Now)});
      continue;
    }

    auto Load = StoreTime ? this->Leases.loadIfLive(Name, *StoreTime)
                          : std::optional<double>();
    if (Load) {
      Found.push_back({{Name, Row.Run}, *Load});
    }
  }
  return Found;
}

bool KeyKeeper::tryFirstLayout(TimePoint Now) {
  std::vector<KeyMember> All = this->members(true, Now);
  if (All.size() != this->MembersSeen) {
    this->MembersSeen = All.size();
    this->MembersChangedAt = Now;
  }

  std::size_t Rank = 0;
  for (const KeyMember &Member : All) {
    Rank += Member.Holder.Instance < this->Instance ? 1 : 0;
  }
  bool Settled = Now - this->MembersChangedAt >=
                 SettleTime + SettleStep * static_cast<int>(Rank);
  if (!Settled) {
    this->LeasesWanted = true;
    return false;
  }
  if (All.empty() || this->Leaving) {
    return false;
  }

  this->write(MapWrite::FirstLayout, firstLayout(All), {});
  return true;
}

bool KeyKeeper::tryAdopt() {
  bool Serving = !this->Leaving && !this->Refused && isSound(this->Report);
  if (!Serving) {
    return false;
  }

  KeyMap Fresh = this->map()->Map;
  bool Changed = false;
  for (const OwnedKeys &Entry : Fresh.ownedBy(this->Instance)) {
    if (Entry.Holder.Run != this->Report.Run) {
      Fresh.assign(Entry.Keys, this->self(), "");
      Changed = true;
    }
  }
  if (Changed) {
    this->write(MapWrite::Adopt, Fresh, {});
  }
  return Changed;
}

bool KeyKeeper::tryFinishGifts(TimePoint Now) {
  KeyMap Fresh = this->map()->Map;
  return this->Gifts.handOver(Fresh, Now) &&
         this->writeAsOwner(MapWrite::Handover, Fresh);
}

bool KeyKeeper::tryGiveUpServer(TimePoint Now) {
  std::vector<KeySpan> Lost;
  for (const OwnedKeys &Entry : this->map()->Map.ownedBy(this->Instance)) {
    Lost.push_back(Entry.Keys);
  }
  if (Lost.empty() || !this->serverLost(Now)) {
    return false;
  }

  std::vector<KeyMember> Others = this->members(false, Now);
  if (Others.empty()) {
    return false;
  }

  KeyMap Fresh = this->map()->Map;
  for (const PlannedGift &Given : spread(Fresh, Lost, Others)) {
    Fresh.assign(Given.Keys, Given.To, "");
  }
  if (!this->writeAsOwner(MapWrite::Lost, Fresh)) {
    return false;
  }
  this->Gifts.clear();
  this->Actions.decided(KeyEvent::ServerLost, countText(Lost));
  return true;
}

std::vector<KeySpan> KeyKeeper::lostKeys(const KeyMap &Map,
                                         TableTransaction &Write) const {
  std::vector<KeySpan> Lost;
  std::set<InstanceId> Closed;

  for (const OwnedKeys &Entry : Map.entries()) {
    const InstanceId &Holder = Entry.Holder.Instance;
    bool Ended = Holder.empty() || this->Leases.hasEnded(Holder);
    if (Holder == this->Instance || !Ended) {
      continue;
    }
    Lost.push_back(Entry.Keys);
    if (!Holder.empty() && Closed.insert(Holder).second) {
      this->Leases.close(Holder, Write);
    }
  }
  return Lost;
}

bool KeyKeeper::tryTakeover(TimePoint Now) {
  if (this->Leaving || this->serverLost(Now)) {
    return false;
  }

  TableTransaction Write;
  KeyMap Fresh = this->map()->Map;
  std::vector<KeySpan> Lost = this->lostKeys(Fresh, Write);
  std::vector<KeyMember> Live = this->members(true, Now);
  if (Lost.empty() || Live.empty()) {
    return false;
  }

  for (const PlannedGift &Given : spread(Fresh, Lost, Live)) {
    Fresh.assign(Given.Keys, Given.To, "");
  }
  this->Actions.decided(KeyEvent::TakenOver, countText(Lost));
  this->write(MapWrite::Takeover, Fresh, std::move(Write));
  return true;
}

void KeyKeeper::planGifts(TimePoint Now) {
  if (this->Leaving) {
    this->planLeaving(Now);
    return;
  }
  bool Free = !this->Offers.waiting() && Now >= this->NextGiftAt &&
              this->Leases.known();
  if (!Free) {
    return;
  }

  std::set<InstanceId> LeftAlone = this->Offers.leftAlone(Now);
  LeftAlone.merge(this->Gifts.receivers());
  std::vector<KeyMember> All = this->members(true, Now);
  double Left = this->loadLeft(Now);

  for (std::size_t Count = 0; Count < MostOffers; ++Count) {
    auto Choice =
        chooseReceiver(this->map()->Map, this->self(), All, LeftAlone, Left);
    if (!Choice) {
      return;
    }
    const InstanceId &Receiver = Choice->Holder.Instance;
    LeftAlone.insert(Receiver);
    this->Offers.ask(Receiver);
    this->NextGiftAt = Now + OfferPause;
    this->Actions.offer(Receiver, Left);
    Left -= partFor(Left, Choice->Load);
  }
}

double KeyKeeper::loadLeft(TimePoint Now) const {
  return std::max(this->OwnLoad - this->Offers.given(Now), 0.0);
}

double KeyKeeper::partFor(double GiverLoad, double Load) {
  double Half = std::max(GiverLoad - Load, LeastGap) / 2;
  return std::min(Half, std::max(TakesUpTo - Load, LeastGap / 2));
}

OfferAnswer KeyKeeper::onOffer(double GiverLoad, TimePoint Now) {
  double Load = this->OwnLoad + this->Offers.promised(Now);
  const MeshView::VersionedKeyMap *Known = this->map();
  std::uint32_t Held = Known ? Known->Map.countOf(this->Instance) : 0;
  bool Empty = Known && Held == 0 && this->Offers.promised(Now) == 0;
  bool Able = this->Reported && !this->Leaving && !this->Refused &&
              this->mayAct(Now) && this->Gifts.empty();
  bool Wanted = Empty || GiverLoad - Load >= LeastGap;
  if (!Able || !Wanted) {
    return {false, Load, 0};
  }

  double Part = partFor(GiverLoad, Load);
  this->Offers.promise(Part, Held, Now);
  return {true, Load, Part};
}

void KeyKeeper::onOfferAnswer(const InstanceId &Receiver,
                              const std::optional<OfferAnswer> &Answer,
                              TimePoint Now) {
  this->Offers.answered(Receiver);
  if (Answer) {
    this->Leases.setLoad(Receiver, Answer->Load);
  }
  const InstanceRow *Row = this->View.findInstance(Receiver);
  bool Taken = Answer && Answer->Taken && Row && this->map() && !this->Leaving;
  if (!Taken || !this->tryGive(*Row, Answer->Part, Now)) {
    this->Offers.declined(Receiver, Now);
  }
}

bool KeyKeeper::tryGive(const InstanceRow &Receiver, double Part,
                        TimePoint Now) {
  std::vector<OwnedKeys> Free = this->keysNotGiven();
  double Total = this->loadOf(Free, Now);
  double Left = this->loadLeft(Now);
  double Slots = std::max<double>(this->Report.Slots, 1);
  bool Empty = this->map()->Map.countOf(Receiver.Instance) == 0;

  auto Keys = Empty ? halfOf(Free, this->Loads, Now)
                    : choosePart(Free, Part * Receiver.Slots / Slots, Left,
                                 this->Loads, Now);
  if (!Keys) {
    return false;
  }
  double Share = Total > 0 ? this->Loads.within(*Keys, Now) / Total : 0;
  this->Offers.give(Left * Share, Now);
  this->begin({*Keys, {Receiver.Instance, Receiver.Run}}, Now);
  this->Loads.prune(Now);
  return true;
}

std::vector<OwnedKeys> KeyKeeper::keysNotGiven() const {
  return this->Gifts.without(this->map()->Map.ownedBy(this->Instance));
}

double KeyKeeper::loadOf(const std::vector<OwnedKeys> &Entries,
                         TimePoint Now) const {
  double Load = 0;
  for (const OwnedKeys &Entry : Entries) {
    Load += this->Loads.within(Entry.Keys, Now);
  }
  return Load;
}

void KeyKeeper::planLeaving(TimePoint Now) {
  std::vector<KeySpan> Rest;
  for (const OwnedKeys &Entry : this->map()->Map.ownedBy(this->Instance)) {
    if (!this->Gifts.concerns(Entry.Keys)) {
      Rest.push_back(Entry.Keys);
    }
  }
  std::vector<KeyMember> Others = this->members(false, Now);
  if (Rest.empty() || Others.empty()) {
    return;
  }

  for (const PlannedGift &Planned : spread(this->map()->Map, Rest, Others)) {
    this->begin(Planned, Now);
  }
}

void KeyKeeper::begin(const PlannedGift &Planned, TimePoint Now) {
  this->NextGiftAt = Now + GiftPause;
  TimePoint ReportDue = this->ReportedAt + this->Bounds.Heartbeat;
  this->Gifts.begin({Planned.Keys,
                     Planned.To,
                     Now,
                     ReportDue - DrainAhead,
                     this->HoldEnd,
                     {},
                     false});
  this->Actions.decided(KeyEvent::HandoverBegun,
                        spanText(Planned.Keys) + " to " + Planned.To.Instance);
}

void KeyKeeper::dropStaleGifts(TimePoint Now) {
  this->Gifts.dropIf([&](const KeyGift &Given) {
    const InstanceRow *Row = this->View.findInstance(Given.To.Instance);
    bool Receives =
        Row && Row->State == ServerState::Ready && Row->Run == Given.To.Run;
    bool Moved =
        this->map() && this->map()->Map.find(Given.Keys.From).Holder.Instance !=
                           this->Instance;
    bool Stale = !Receives || Now - Given.Since > GiftPatience;
    bool GivenUp = (Moved || Stale) && !this->inDoubt() &&
                   this->Writing != MapWrite::Handover;
    if (GivenUp && !Moved) {
      this->Actions.decided(KeyEvent::HandoverGivenUp, spanText(Given.Keys));
    }
    return GivenUp;
  });
}

void KeyKeeper::write(MapWrite Kind, const KeyMap &Fresh,
                      TableTransaction Write) {
  const MeshView::VersionedKeyMap *Known = this->map();
  std::string Key = MeshView::keyMapKey(this->service());

  this->Writing = Kind;
  this->NewOwners = newOwners(Known ? &Known->Map : nullptr, Fresh);
  this->NewOwners.erase(this->Instance);
  Write.Conditions.push_back({Key, Known ? Known->Version : 0});
  Write.Writes.push_back({Key, Fresh.toText()});
  this->Actions.commitMap(Write);
}

bool KeyKeeper::writeAsOwner(MapWrite Kind, const KeyMap &Fresh) {
  auto Version = this->Lease.version();
  if (!Version) {
    return false;
  }

  // Bound to the lease's row, the write cannot be done late under a later
  // lease, when the keys may have been granted here again.
  TableTransaction Write;
  Write.Conditions.push_back({KeyLease::key(this->Instance), *Version});
  this->DoubtfulFrom = Version;
  this->DoubtfulLoss = Kind == MapWrite::Lost;
  this->write(Kind, Fresh, std::move(Write));
  return true;
}

bool KeyKeeper::inDoubt() const { return this->DoubtfulFrom.has_value(); }

void KeyKeeper::settleDoubt() {
  if (!this->DoubtfulFrom || this->Writing != MapWrite::None) {
    return;
  }

  auto Version = this->Lease.version();
  if (!Version) {
    return;
  }
  if (*Version <= *this->DoubtfulFrom) {
    this->Lease.renewSoon();
    return;
  }
  if (this->View.keysReadAt() >= *Version) {
    this->DoubtfulFrom.reset();
  }
}

void KeyKeeper::onMapCommit(const StoreCommit &Commit, TimePoint Now) {
  MapWrite Kind = this->Writing;
  this->Writing = MapWrite::None;
  if (Commit.Result.Outcome != CommitOutcome::Unknown) {
    this->DoubtfulFrom.reset();
  }

  if (Commit.Result.Outcome != CommitOutcome::Committed) {
    this->Actions.decided(KeyEvent::WriteFailed, nameOf(Commit.Result.Outcome));
    this->WriteRetryAt = Now + WriteRetryPause;
    this->LeasesWanted = this->LeasesWanted || Kind == MapWrite::Takeover;
    bool Told = Commit.Result.Outcome == CommitOutcome::Conflict &&
                !Commit.Current.empty();
    if (!Told && Commit.Result.Outcome != CommitOutcome::NotRun) {
      this->KeysAskedAt = Now;
      this->Actions.readKeys();
    }
    return;
  }

  this->Actions.tell(this->NewOwners);
  switch (Kind) {
  case MapWrite::FirstLayout:
    this->Actions.decided(KeyEvent::FirstLayout, "");
    break;
  case MapWrite::Adopt:
    this->Actions.decided(KeyEvent::RunAdopted, this->Report.Run.Id);
    break;
  case MapWrite::Handover:
    this->Gifts.dropHandedOver();
    this->Actions.decided(KeyEvent::HandoverDone, "");
    break;
  case MapWrite::Takeover:
    this->LeasesWanted = true;
    break;
  case MapWrite::Lost:
  case MapWrite::None:
    break;
  }
  this->tick(Now);
}

} // namespace hemlockspar
