#include "tests/mesh/KeySimulationNode.h"

#include <algorithm>

namespace hemlockspar {

using std::chrono::milliseconds;

namespace {

constexpr auto Step = milliseconds(10);
constexpr auto Heartbeat = milliseconds(900);
constexpr auto CallTimeout = milliseconds(1500);

/// A backend server ignores responses that take longer than this.
constexpr auto ResponseTimeout = milliseconds(1000);

constexpr auto TickInterval = milliseconds(100);

constexpr auto CopyInterval = milliseconds(500);
constexpr std::size_t MaxCopies = 12;

/// Token checks sample every ProbeStride-th key: dense enough to hit each range
/// that is moved.
constexpr KeyNumber ProbeStride = 97;

} // namespace

KeySimulation::KeySimulation(std::uint32_t Seed, int NodeCount,
                             GrantKind GrantsAre)
    : GrantsAre(GrantsAre), Random(Seed), Now(std::chrono::seconds(1000)),
      StartedAt(Now) {
  for (int Index = 0; Index < NodeCount; ++Index) {
    this->Nodes.push_back(std::make_unique<Node>(*this, Index));
    this->startDaemon(*this->Nodes.back());
    this->startServer(*this->Nodes.back());
  }
}

KeySimulation::~KeySimulation() = default;

void KeySimulation::inject(const std::vector<KeyFault> &Injected) {
  this->Faults = Injected;
}

Duration KeySimulation::randomDuration(int MinMs, int MaxMs) {
  std::uniform_int_distribution<int> Draw(MinMs, MaxMs);
  return milliseconds(Draw(this->Random));
}

void KeySimulation::schedule(Duration Delay, std::function<void()> Action) {
  this->Events.emplace(this->Now + Delay, std::move(Action));
}

Duration KeySimulation::storeClock() const {
  return std::chrono::duration_cast<Duration>((this->Now - this->StartedAt) *
                                              1.005) +
         std::chrono::hours(1);
}

bool KeySimulation::isFaultActive(KeyFaultKind Kind, int Index) const {
  return std::any_of(
      this->Faults.begin(), this->Faults.end(), [&](const KeyFault &Fault) {
        bool Affected = Fault.Kind == KeyFaultKind::StoreDown ||
                        Fault.Kind == KeyFaultKind::StoreRestored ||
                        Fault.NodeIndex % int(this->Nodes.size()) == Index;
        return Fault.Kind == Kind && Affected &&
               this->Now >= this->StartedAt + Fault.StartsAfter &&
               this->Now < this->StartedAt + Fault.StartsAfter + Fault.Length;
      });
}

// Processes

void KeySimulation::startDaemon(Node &Member) {
  Member.QueuedCalls.clear();
  Member.Process = ++this->LastProcess;
  Member.View = std::make_unique<MeshView>();
  KeyOwnershipManager::Options Opts;
  Opts.Heartbeat = Heartbeat;
  Duration Hold = KeyOwnershipManager::holdTime(Opts);
  if (this->GrantsAre == GrantKind::Calls) {
    auto ByCall = std::make_unique<CallGrants>(Member, Hold, this->Now);
    Member.GrantsByCall = ByCall.get();
    Member.Grants = std::move(ByCall);
  } else {
    Member.Grants = std::make_unique<ReportGrants>(Heartbeat, Hold, this->Now);
  }
  Member.Manager = std::make_unique<KeyOwnershipManager>(
      Member.Name, Member.Process, Opts, *Member.View, *Member.Grants, Member,
      this->Now);
  Member.NextPollAt = this->Now;
  Member.NextTickAt = this->Now;
  Member.LastWrittenRow = {};
  Member.Era = 0;
  Member.ReadEras.clear();
}

void KeySimulation::startServer(Node &Member) {
  Member.Server = {};
  Member.LastSequence = 0;
  Member.Server.Up = true;
  bool SameName = this->Random() % 2 == 0;
  Member.Server.Run = {SameName ? "s" + Member.Name
                                : "s" + std::to_string(this->LastStart),
                       ++this->LastStart};
  Member.Server.NextReportAt = this->Now + this->randomDuration(0, 300);
}

void KeySimulation::applyFaults() {
  for (auto &Owned : this->Nodes) {
    Node &Member = *Owned;
    bool Machine =
        this->isFaultActive(KeyFaultKind::MachineKilled, Member.Index);
    bool NoDaemon = Machine || this->isFaultActive(KeyFaultKind::DaemonKilled,
                                                   Member.Index);
    bool NoServer = Machine || this->isFaultActive(KeyFaultKind::ServerKilled,
                                                   Member.Index);

    if (NoDaemon && Member.Manager) {
      Member.Manager.reset();
    } else if (!NoDaemon && !Member.Manager) {
      this->startDaemon(Member);
    }

    bool Leaves = this->isFaultActive(KeyFaultKind::ServerLeaves, Member.Index);
    bool Stopped = Member.Server.Up && Member.Server.Leaving && !Leaves;
    if (Member.Server.Up && (NoServer || Stopped)) {
      Member.Server.Up = false;
    } else if (!Member.Server.Up && !NoServer) {
      this->startServer(Member);
    }
    Member.Server.Leaving = Member.Server.Up && Leaves;
  }
}

void KeySimulation::deliverToDaemon(Node &Member,
                                    std::function<void()> Action) {
  if (!Member.Manager) {
    return;
  }
  if (this->isFaultActive(KeyFaultKind::DaemonFrozen, Member.Index)) {
    Member.QueuedCalls.push_back(std::move(Action));
  } else {
    Action();
  }
}

// The store

void KeySimulation::restoreStore() {
  bool Away = this->isFaultActive(KeyFaultKind::StoreRestored, 0);
  bool Due =
      !Away && !this->RestorationPending && this->Now >= this->NextCopyAt;
  if (Due || this->Copies.empty()) {
    this->NextCopyAt = this->Now + CopyInterval;
    this->Copies.emplace_back(this->Rows, this->LastVersion);
    if (this->Copies.size() > MaxCopies) {
      this->Copies.pop_front();
    }
  }
  if (Away || !this->RestorationPending) {
    this->RestorationPending = Away;
    return;
  }

  this->RestorationPending = false;
  std::uint64_t Era = eraOf(this->LastVersion) + 1;
  auto InNewEra = [Era](RowVersion Version) {
    return StoreVersion{Era, StoreVersion::of(Version).Number}.rowVersion();
  };
  auto [Restored, Version] = this->Copies[this->Random() % this->Copies.size()];
  this->Rows = std::move(Restored);
  this->LastVersion = InNewEra(Version);
  for (auto &[Key, Row] : this->Rows) {
    Row.Version = InNewEra(Row.Version);
  }
  this->Copies.clear();
  this->Copies.emplace_back(this->Rows, this->LastVersion);
  for (auto &Member : this->Nodes) {
    Member->LastWrittenRow = {};
  }
}

bool KeySimulation::hasOlderCondition(const TableTransaction &Write,
                                      std::uint64_t Era) {
  return std::any_of(Write.Conditions.begin(), Write.Conditions.end(),
                     [&](const RowCondition &Condition) {
                       return Condition.Version != 0 &&
                              eraOf(Condition.Version) < Era;
                     });
}

StoreCommit KeySimulation::execute(const TableTransaction &Write) {
  for (const RowCondition &Condition : Write.Conditions) {
    StoredRow &Row = this->Rows[Condition.Key];
    RowVersion Version = Row.Value ? Row.Version : 0;
    // The store knows nothing of the eras of conditions.
    if (StoreVersion::of(Version).Number !=
        StoreVersion::of(Condition.Version).Number) {
      StoreCommit Refused = {
          {CommitOutcome::Conflict, 0}, {}, this->storeClock()};
      for (const RowCondition &Known : Write.Conditions) {
        const StoredRow &Stored = this->Rows[Known.Key];
        if (Stored.Value) {
          Refused.Current.push_back({Known.Key, Stored.Version, Stored.Value});
        }
      }
      return Refused;
    }
  }

  ++this->LastVersion;
  for (const RowWrite &One : Write.Writes) {
    this->Rows[One.Key] = {One.Value, this->LastVersion};
  }
  // Like StoreClient, for a condition that held by chance.
  if (hasOlderCondition(Write, eraOf(this->LastVersion))) {
    return {{CommitOutcome::Unknown, 0}, {}, this->storeClock()};
  }
  return {
      {CommitOutcome::Committed, this->LastVersion}, {}, this->storeClock()};
}

void KeySimulation::commit(
    Node &Member, const TableTransaction &Write,
    const std::function<void(const StoreCommit &)> &OnDone) {
  std::uint64_t Process = Member.Process;
  auto Finish = [this, &Member, Process, OnDone](const StoreCommit &Commit) {
    if (Member.Process == Process) {
      this->deliverToDaemon(Member, [OnDone, Commit] { OnDone(Commit); });
    }
  };
  int Index = Member.Index;
  StoreCommit NotRun = {{CommitOutcome::NotRun, 0}, {}, std::nullopt};
  StoreCommit Unknown = {{CommitOutcome::Unknown, 0}, {}, std::nullopt};

  if (hasOlderCondition(Write, Member.Era)) {
    StoreCommit Conflict = {{CommitOutcome::Conflict, 0}, {}, std::nullopt};
    this->schedule(milliseconds(0), [Finish, Conflict] { Finish(Conflict); });
  } else if (this->isFaultActive(KeyFaultKind::StoreRefuses, Index) ||
             this->isFaultActive(KeyFaultKind::StoreRestored, Index) ||
             this->isFaultActive(KeyFaultKind::StoreDown, Index)) {
    this->schedule(this->randomDuration(1, 60),
                   [Finish, NotRun] { Finish(NotRun); });
  } else if (this->isFaultActive(KeyFaultKind::StoreSilent, Index)) {
    this->schedule(CallTimeout, [Finish, Unknown] { Finish(Unknown); });
  } else if (this->isFaultActive(KeyFaultKind::AnswersLost, Index)) {
    this->schedule(this->randomDuration(1, 60),
                   [this, Write] { this->execute(Write); });
    this->schedule(CallTimeout, [Finish, Unknown] { Finish(Unknown); });
  } else if (this->isFaultActive(KeyFaultKind::WritesLate, Index)) {
    this->schedule(this->randomDuration(1000, 6000),
                   [this, Write] { this->execute(Write); });
    this->schedule(CallTimeout, [Finish, Unknown] { Finish(Unknown); });
  } else {
    this->schedule(this->randomDuration(1, 60), [this, Write, Finish] {
      StoreCommit Done = this->execute(Write);
      this->schedule(this->randomDuration(1, 60),
                     [Finish, Done] { Finish(Done); });
    });
  }
}

StoreRows KeySimulation::rowsOf(const std::string &Table) const {
  StoreRows Read;
  Read.Table = Table;
  Read.Version = this->LastVersion;
  Read.Complete = true;
  Read.StoreClock = this->storeClock();
  for (const auto &[Key, Row] : this->Rows) {
    if (Row.Value && Key.starts_with(Table + "/")) {
      Read.Rows.push_back({Key, Row.Version, Row.Value});
    }
  }
  return Read;
}

void KeySimulation::read(
    Node &Member, const std::string &Table,
    const std::function<void(const std::optional<StoreRows> &)> &OnDone) {
  std::uint64_t Process = Member.Process;
  bool Fails = this->isFaultActive(KeyFaultKind::StoreRefuses, Member.Index) ||
               this->isFaultActive(KeyFaultKind::StoreDown, Member.Index) ||
               this->isFaultActive(KeyFaultKind::StoreRestored, Member.Index) ||
               this->isFaultActive(KeyFaultKind::StoreSilent, Member.Index);
  this->schedule(this->randomDuration(1, 60), [this, &Member, Table, OnDone,
                                               Process, Fails] {
    std::optional<StoreRows> Read;
    if (!Fails) {
      Read = this->rowsOf(Table);
    }
    this->schedule(this->randomDuration(1, 60), [this, &Member, Read, OnDone,
                                                 Process] {
      if (Member.Process == Process) {
        this->deliverToDaemon(Member, [&Member, OnDone, Read] {
          Member.Era = std::max(Member.Era, Read ? eraOf(Read->Version) : 0);
          OnDone(Read);
        });
      }
    });
  });
}

void KeySimulation::pollStore() {
  for (auto &Owned : this->Nodes) {
    Node &Member = *Owned;
    if (!Member.Manager || this->Now < Member.NextPollAt) {
      continue;
    }
    Member.NextPollAt = this->Now + this->randomDuration(100, 400);
    for (const char *Table : {tables::Instances, tables::Keys}) {
      this->read(
          Member, Table, [&Member](const std::optional<StoreRows> &Read) {
            if (!Read) {
              return;
            }
            // Applied as changes, not as a read of the whole table,
            // unless the store was restored.
            StoreRows Changes = *Read;
            std::uint64_t &ReadEra = Member.ReadEras[Read->Table];
            Changes.Complete = ReadEra != 0 && eraOf(Read->Version) > ReadEra;
            ReadEra = eraOf(Read->Version);
            Member.View->apply(Changes);
          });
    }

    InstanceRow Row = Member.row();
    if (Row == Member.LastWrittenRow) {
      continue;
    }
    TableTransaction Write;
    Write.Writes.push_back({MeshView::instanceKey(Member.Name), Row.toText()});
    this->commit(Member, Write, [&Member, Row](const StoreCommit &Commit) {
      if (Commit.Result.Outcome == CommitOutcome::Committed) {
        Member.LastWrittenRow = Row;
      }
    });
  }
}

// Backend servers

void KeySimulation::report(Node &Member) {
  SimServer &Server = Member.Server;
  ServerReport Report;
  Report.Incarnation = Server.Run;
  Report.Sequence = ++Server.Sequence;
  Report.Service = "menus";
  Report.Slots = 6;
  Report.Leaving = Server.Leaving;
  for (const SimServer::Hold &Held : Server.Holds) {
    Report.Held.push_back({Held.Keys, Held.Token});
  }
  Report.Released = Server.Released;

  TimePoint SentAt = this->Now;
  Server.NextReportAt = this->Now + Heartbeat;
  if (this->isFaultActive(KeyFaultKind::ReportsCut, Member.Index)) {
    return;
  }

  // One report in 20 is delayed.
  bool Late = this->Random() % 20 == 0;
  Duration Delay =
      Late ? this->randomDuration(200, 2500) : this->randomDuration(0, 5);
  this->schedule(Delay, [this, &Member, Report, SentAt] {
    this->deliverToDaemon(Member, [this, &Member, Report, SentAt] {
      // Like LocalServer: only reports newer than all before count.
      if (Report.Incarnation != Member.Server.Run ||
          Report.Sequence <= Member.LastSequence) {
        return;
      }
      Member.LastSequence = Report.Sequence;
      Member.Manager->onReport(Report, this->Now);
      auto Grants = Member.Manager->issueGrants(this->Now, this->Now);
      if (!Grants || this->Now - SentAt > ResponseTimeout) {
        return;
      }
      this->schedule(this->randomDuration(0, 5),
                     [this, &Member, Report, SentAt, Grants] {
                       this->applyGrants(Member, Report, SentAt, *Grants);
                     });
    });
  });
}

void KeySimulation::applyGrants(Node &Member, const ServerReport &Answered,
                                TimePoint SentAt, const KeyGrants &Grants) {
  SimServer &Server = Member.Server;
  if (!Server.Up || Server.Run != Answered.Incarnation) {
    return;
  }
  // What was released after the report was sent is still to be reported.
  auto Reported = static_cast<std::ptrdiff_t>(
      std::min(Answered.Released.size(), Server.Released.size()));
  Server.Released.erase(Server.Released.begin(),
                        Server.Released.begin() + Reported);
  TimePoint Until = SentAt + std::chrono::duration_cast<Duration>(
                                 Grants.HoldTime * ClockSlowdown);

  std::vector<SimServer::Hold> Next;
  for (const GrantedKeys &Granted : Grants.Granted) {
    Next.push_back({Granted.Keys, Granted.Token, Until, std::nullopt});
  }

  // Keys that are left out are released once the work on them is done.
  for (const SimServer::Hold &Held : Server.Holds) {
    KeyNumber From = Held.Keys.First;
    for (const GrantedKeys &Granted : Grants.Granted) {
      if (!Granted.Keys.overlaps({From, Held.Keys.Last})) {
        continue;
      }
      if (Granted.Keys.First > From) {
        Next.push_back({{From, Granted.Keys.First - 1},
                        Held.Token,
                        Held.Until,
                        Held.ReleaseAt.value_or(this->Now +
                                                this->randomDuration(0, 600))});
      }
      From = std::max(From, Granted.Keys.Last + 1);
      if (From > Held.Keys.Last) {
        break;
      }
    }
    if (From <= Held.Keys.Last) {
      Next.push_back(
          {{From, Held.Keys.Last},
           Held.Token,
           Held.Until,
           Held.ReleaseAt.value_or(this->Now + this->randomDuration(0, 600))});
      Server.NextReportAt = std::min<TimePoint>(Server.NextReportAt,
                                                this->Now + milliseconds(100));
    }
  }
  Server.Holds = std::move(Next);

  for (const SimServer::Hold &Held : Server.Holds) {
    if (!Held.ReleaseAt) {
      this->recordToken(Held.Keys, Held.Token);
    }
  }
}

void KeySimulation::recordToken(const KeyRange &Keys, FencingToken Token) {
  for (KeyNumber Key = 0; Key <= MaxKey; Key += ProbeStride) {
    if (!Keys.contains(Key)) {
      continue;
    }
    FencingToken &Highest = this->HighestTokens[Key];
    if (Token < Highest) {
      this->Violation = "a key was granted with a token below an earlier one";
    }
    Highest = std::max(Highest, Token);
  }
}

// Steps

void KeySimulation::checkHolders() {
  for (std::size_t First = 0; First < this->Nodes.size(); ++First) {
    for (std::size_t Second = First + 1; Second < this->Nodes.size();
         ++Second) {
      const SimServer &One = this->Nodes[First]->Server;
      const SimServer &Two = this->Nodes[Second]->Server;
      if (!One.Up || !Two.Up) {
        continue;
      }
      for (const SimServer::Hold &Here : One.Holds) {
        for (const SimServer::Hold &There : Two.Holds) {
          if (Here.Keys.overlaps(There.Keys)) {
            this->Violation =
                "two backend servers hold keys " +
                std::to_string(Here.Keys.First) + ".. and " +
                std::to_string(There.Keys.First) + ".. at " +
                std::to_string(toMilliseconds(this->Now - this->StartedAt)) +
                " ms";
          }
        }
      }
    }
  }
}

void KeySimulation::step() {
  this->Now += Step;
  this->applyFaults();
  this->restoreStore();

  for (auto &Owned : this->Nodes) {
    Node &Member = *Owned;
    SimServer &Server = Member.Server;
    for (SimServer::Hold &Held : Server.Holds) {
      bool LetGo = Held.ReleaseAt && this->Now >= *Held.ReleaseAt;
      if (LetGo && this->Now < Held.Until &&
          this->GrantsAre == GrantKind::Responses) {
        Server.Released.push_back({Held.Keys, "state"});
      }
    }
    std::erase_if(Server.Holds, [&](const SimServer::Hold &Held) {
      return this->Now >= Held.Until ||
             (Held.ReleaseAt && this->Now >= *Held.ReleaseAt);
    });
    if (Server.Up && this->Now >= Server.NextReportAt) {
      this->report(Member);
    }

    bool Runs = Member.Manager &&
                !this->isFaultActive(KeyFaultKind::DaemonFrozen, Member.Index);
    if (Runs) {
      std::vector<std::function<void()>> Waiting;
      Waiting.swap(Member.QueuedCalls);
      for (const auto &Action : Waiting) {
        Action();
      }
      if (this->Now >= Member.NextTickAt) {
        Member.NextTickAt = this->Now + TickInterval;
        this->recordKeyLoads(Member);
        Member.Manager->setLoad(Member.Load, Member.RecentLoad, this->Now);
        Member.Manager->tick(this->Now);
      }
    }
  }

  this->pollStore();
  while (!this->Events.empty() && this->Events.begin()->first <= this->Now) {
    auto Action = std::move(this->Events.begin()->second);
    this->Events.erase(this->Events.begin());
    Action();
  }
  this->checkHolders();
}

bool KeySimulation::run(Duration Span) {
  TimePoint End = this->Now + Span;
  while (this->Now < End && this->Violation.empty()) {
    this->step();
  }
  return this->Violation.empty();
}

std::vector<KeyRange> KeySimulation::heldRanges(int Index) const {
  std::vector<KeyRange> Held;
  for (const SimServer::Hold &Hold :
       this->Nodes[static_cast<std::size_t>(Index)]->Server.Holds) {
    if (!Hold.ReleaseAt) {
      Held.push_back(Hold.Keys);
    }
  }

  // Grants by call may overlap.
  std::sort(Held.begin(), Held.end());
  std::vector<KeyRange> Merged;
  for (const KeyRange &Keys : Held) {
    if (!Merged.empty() && Keys.First <= Merged.back().Last) {
      Merged.back().Last = std::max(Merged.back().Last, Keys.Last);
    } else {
      Merged.push_back(Keys);
    }
  }
  return Merged;
}

std::uint32_t KeySimulation::heldKeyCount(int Index) const {
  std::uint32_t Count = 0;
  for (const KeyRange &Keys : this->heldRanges(Index)) {
    Count += Keys.size();
  }
  return Count;
}

bool KeySimulation::allKeysHeld() const {
  std::uint32_t Count = 0;
  for (std::size_t Index = 0; Index < this->Nodes.size(); ++Index) {
    Count += this->heldKeyCount(static_cast<int>(Index));
  }
  return Count == MaxKey + 1;
}

void KeySimulation::setKeyLoad(const KeyRange &Keys, double Slots) {
  for (KeyNumber Key = Keys.First; Key <= Keys.Last; ++Key) {
    this->KeyLoads[Key] = Slots;
  }
}

double KeySimulation::demandOf(int Index) const {
  double Slots = 0;
  for (const KeyRange &Held : this->heldRanges(Index)) {
    auto End = this->KeyLoads.upper_bound(Held.Last);
    for (auto Key = this->KeyLoads.lower_bound(Held.First); Key != End; ++Key) {
      Slots += Key->second;
    }
  }
  return Slots / SlotsPerServer;
}

void KeySimulation::recordKeyLoads(Node &Member) {
  if (this->KeyLoads.empty()) {
    return;
  }

  // Measured loads follow the demand with time constants of 1 and 0.3 seconds.
  double Wanted = this->demandOf(Member.Index);
  double Seconds = std::chrono::duration<double>(TickInterval).count();
  Member.Load += Seconds * (Wanted - Member.Load);
  Member.RecentLoad += Seconds / 0.3 * (Wanted - Member.RecentLoad);
  for (const KeyRange &Held : this->heldRanges(Member.Index)) {
    auto End = this->KeyLoads.upper_bound(Held.Last);
    for (auto Key = this->KeyLoads.lower_bound(Held.First); Key != End; ++Key) {
      auto Busy = std::chrono::duration<double>(Key->second * Seconds);
      Member.Manager->recordLoad(
          Key->first, std::chrono::duration_cast<Duration>(Busy), this->Now);
    }
  }
}

void KeySimulation::setLoad(int Index, double Load) {
  this->Nodes[static_cast<std::size_t>(Index)]->Load = Load;
}

} // namespace hemlockspar
