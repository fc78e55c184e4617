#include "tests/mesh/KeyWorld.h"

#include <algorithm>

namespace hemlockspar {

using std::chrono::milliseconds;

namespace {

constexpr auto Step = milliseconds(10);
constexpr auto Heartbeat = milliseconds(900);
constexpr auto CallTimeout = milliseconds(1500);

/// A backend server counts an answer within this time.
constexpr auto AnswerLimit = milliseconds(1000);

/// Its clock runs this much slow.
constexpr double SlowClock = 1.02;

constexpr int SlotsEach = 6;
constexpr auto TickInterval = milliseconds(100);

/// Keys at which holders are compared: enough to hit each part that is moved.
constexpr KeyNumber ProbeStride = 97;

} // namespace

/// A backend server by the rules of the reports.
struct KeyWorld::SimServer {
  struct Hold {
    KeyRange Keys;
    FencingToken Token = 0;
    TimePoint Until;

    /// Left out of an answer: let go at this time, when the work is done.
    std::optional<TimePoint> LetGoAt;
  };

  bool Up = false;
  bool Leaving = false;
  ServerIncarnation Run;
  std::uint64_t Sequence = 0;
  TimePoint NextReport;
  std::vector<Hold> Holds;
  std::vector<ReleasedKeys> Released;
};

/// One instance: the daemon's process and the backend server beside it.
struct KeyWorld::Node : KeyKeeperActions {
  Node(KeyWorld &World, int Number)
      : World(World), Number(Number), Name("i" + std::to_string(Number)) {}

  void commitLease(const TableTransaction &Write) override {
    TimePoint SentAt = this->World.Now;
    this->World.commit(*this, Write, [this, SentAt](const StoreCommit &Commit) {
      this->Keeper->onLeaseCommit(Commit, SentAt, this->World.Now);
    });
  }

  void commitMap(const TableTransaction &Write) override {
    this->World.commit(*this, Write, [this, Write](const StoreCommit &Commit) {
      if (Commit.Result.Outcome == CommitOutcome::Committed) {
        StoreRows Written;
        Written.Rows = writtenRows(Write, Commit.Result.Version).Rows;
        this->View->apply(Written);
      } else if (!Commit.Current.empty()) {
        StoreRows Current;
        Current.Rows = Commit.Current;
        this->View->apply(Current);
      }
      this->Keeper->onMapCommit(Commit, this->World.Now);
    });
  }

  void readLeases() override {
    TimePoint SentAt = this->World.Now;
    this->World.read(*this, tables::Leases,
                     [this, SentAt](const std::optional<StoreRows> &Read) {
                       this->Keeper->onLeases(Read, SentAt, this->World.Now);
                     });
  }

  void readKeys() override {
    this->World.read(*this, tables::Keys,
                     [this](const std::optional<StoreRows> &Read) {
                       if (Read) {
                         this->View->apply(*Read);
                       }
                     });
  }

  void offer(const InstanceId &Receiver, double Load) override {
    for (auto &Other : this->World.Nodes) {
      if (Other->Name != Receiver) {
        continue;
      }
      Node *Target = Other.get();
      std::uint64_t Process = this->Process;
      this->World.at(milliseconds(30), [this, Target, Load, Process] {
        std::optional<OfferAnswer> Answer;
        if (Target->Keeper) {
          Answer = Target->Keeper->onOffer(Load, this->World.Now);
        }
        if (this->Keeper && this->Process == Process) {
          this->Keeper->onOfferAnswer(Target->Name, Answer, this->World.Now);
        }
      });
    }
  }

  void tell(const std::set<InstanceId> &Owners) override {
    auto Row = this->View->keyMapRow("menus");
    for (auto &Other : this->World.Nodes) {
      if (!Row || !Owners.contains(Other->Name)) {
        continue;
      }
      Node *Target = Other.get();
      this->World.at(this->World.randomSpan(1, 200), [this, Target, Row] {
        this->World.deliver(*Target, [Target, Row] {
          StoreRows Told;
          Told.Rows = {*Row};
          Target->View->apply(Told);
        });
      });
    }
  }

  void decided(KeyEvent Event, const std::string &) override {
    this->World.Handovers += Event == KeyEvent::HandoverDone ? 1 : 0;
  }

  InstanceRow row() const {
    InstanceRow Row;
    Row.Instance = this->Name;
    Row.PeerAddress = {"10.0.0.1", 7000};
    Row.Service = "menus";
    Row.Incarnation = this->Server.Run;
    Row.Slots = SlotsEach;
    Row.State = !this->Server.Up       ? ServerState::Gone
                : this->Server.Leaving ? ServerState::Leaving
                                       : ServerState::Ready;
    return Row;
  }

  KeyWorld &World;
  int Number;
  std::string Name;
  std::uint64_t Process = 0;
  std::unique_ptr<MeshView> View;
  std::unique_ptr<KeyKeeper> Keeper;
  SimServer Server;
  double Load = 0;
  TimePoint NextTick;
  TimePoint NextFollow;
  InstanceRow Written;

  /// Newest report of the backend server's run that was taken.
  std::uint64_t Newest = 0;

  /// What reached the daemon while it stood still.
  std::vector<std::function<void()>> Held;
};

KeyWorld::KeyWorld(std::uint32_t Seed, int Members)
    : Random(Seed), Now(std::chrono::seconds(1000)), Begin(Now) {
  for (int Number = 0; Number < Members; ++Number) {
    this->Nodes.push_back(std::make_unique<Node>(*this, Number));
    this->startDaemon(*this->Nodes.back());
    this->startServer(*this->Nodes.back());
  }
}

KeyWorld::~KeyWorld() = default;

void KeyWorld::inject(const std::vector<KeyFault> &Injected) {
  this->Faults = Injected;
}

Duration KeyWorld::randomSpan(int LeastMs, int MostMs) {
  std::uniform_int_distribution<int> Draw(LeastMs, MostMs);
  return milliseconds(Draw(this->Random));
}

void KeyWorld::at(Duration Delay, std::function<void()> Action) {
  this->Events.emplace(this->Now + Delay, std::move(Action));
}

Duration KeyWorld::storeClock() const {
  return std::chrono::duration_cast<Duration>((this->Now - this->Begin) *
                                              1.005) +
         std::chrono::hours(1);
}

bool KeyWorld::faulty(KeyFaultKind Kind, int Who) const {
  return std::any_of(
      this->Faults.begin(), this->Faults.end(), [&](const KeyFault &Fault) {
        bool Concerned = Fault.Kind == KeyFaultKind::StoreDown ||
                         Fault.Who % int(this->Nodes.size()) == Who;
        return Fault.Kind == Kind && Concerned &&
               this->Now >= this->Begin + Fault.At &&
               this->Now < this->Begin + Fault.At + Fault.Lasting;
      });
}

// Processes

void KeyWorld::startDaemon(Node &Member) {
  Member.Held.clear();
  Member.Process = ++this->LastProcess;
  Member.View = std::make_unique<MeshView>();
  KeyKeeper::Terms Terms;
  Terms.Heartbeat = Heartbeat;
  Member.Keeper = std::make_unique<KeyKeeper>(
      Member.Name, Member.Process, Terms, *Member.View, Member, this->Now);
  Member.NextFollow = this->Now;
  Member.NextTick = this->Now;
  Member.Written = {};
}

void KeyWorld::startServer(Node &Member) {
  Member.Server = {};
  Member.Newest = 0;
  Member.Server.Up = true;
  bool SameName = this->Random() % 2 == 0;
  Member.Server.Run = {SameName ? "s" + Member.Name
                                : "s" + std::to_string(this->LastStart),
                       ++this->LastStart};
  Member.Server.NextReport = this->Now + this->randomSpan(0, 300);
}

void KeyWorld::applyFaults() {
  for (auto &Owned : this->Nodes) {
    Node &Member = *Owned;
    bool Machine = this->faulty(KeyFaultKind::MachineKilled, Member.Number);
    bool NoDaemon =
        Machine || this->faulty(KeyFaultKind::DaemonKilled, Member.Number);
    bool NoServer =
        Machine || this->faulty(KeyFaultKind::ServerKilled, Member.Number);

    if (NoDaemon && Member.Keeper) {
      Member.Keeper.reset();
    } else if (!NoDaemon && !Member.Keeper) {
      this->startDaemon(Member);
    }

    bool Leaves = this->faulty(KeyFaultKind::ServerLeaves, Member.Number);
    bool Stopped = Member.Server.Up && Member.Server.Leaving && !Leaves;
    if (Member.Server.Up && (NoServer || Stopped)) {
      Member.Server.Up = false;
    } else if (!Member.Server.Up && !NoServer) {
      this->startServer(Member);
    }
    Member.Server.Leaving = Member.Server.Up && Leaves;
  }
}

void KeyWorld::deliver(Node &Member, std::function<void()> Action) {
  if (!Member.Keeper) {
    return;
  }
  if (this->faulty(KeyFaultKind::DaemonFrozen, Member.Number)) {
    Member.Held.push_back(std::move(Action));
  } else {
    Action();
  }
}

// The store

StoreCommit KeyWorld::execute(const TableTransaction &Write) {
  for (const RowCondition &Condition : Write.Conditions) {
    StoredRow &Row = this->Rows[Condition.Key];
    RowVersion Version = Row.Value ? Row.Version : 0;
    if (Version != Condition.Version) {
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
  return {
      {CommitOutcome::Committed, this->LastVersion}, {}, this->storeClock()};
}

void KeyWorld::commit(Node &Member, const TableTransaction &Write,
                      const std::function<void(const StoreCommit &)> &OnDone) {
  std::uint64_t Process = Member.Process;
  auto Finish = [this, &Member, Process, OnDone](const StoreCommit &Commit) {
    if (Member.Process == Process) {
      this->deliver(Member, [OnDone, Commit] { OnDone(Commit); });
    }
  };
  int Who = Member.Number;
  StoreCommit NotRun = {{CommitOutcome::NotRun, 0}, {}, std::nullopt};
  StoreCommit Unknown = {{CommitOutcome::Unknown, 0}, {}, std::nullopt};

  if (this->faulty(KeyFaultKind::StoreRefuses, Who) ||
      this->faulty(KeyFaultKind::StoreDown, Who)) {
    this->at(this->randomSpan(1, 60), [Finish, NotRun] { Finish(NotRun); });
  } else if (this->faulty(KeyFaultKind::StoreSilent, Who)) {
    this->at(CallTimeout, [Finish, Unknown] { Finish(Unknown); });
  } else if (this->faulty(KeyFaultKind::AnswersLost, Who)) {
    this->at(this->randomSpan(1, 60), [this, Write] { this->execute(Write); });
    this->at(CallTimeout, [Finish, Unknown] { Finish(Unknown); });
  } else if (this->faulty(KeyFaultKind::WritesLate, Who)) {
    this->at(this->randomSpan(1000, 6000),
             [this, Write] { this->execute(Write); });
    this->at(CallTimeout, [Finish, Unknown] { Finish(Unknown); });
  } else {
    this->at(this->randomSpan(1, 60), [this, Write, Finish] {
      StoreCommit Done = this->execute(Write);
      this->at(this->randomSpan(1, 60), [Finish, Done] { Finish(Done); });
    });
  }
}

StoreRows KeyWorld::rowsOf(const std::string &Table) const {
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

void KeyWorld::read(
    Node &Member, const std::string &Table,
    const std::function<void(const std::optional<StoreRows> &)> &OnDone) {
  std::uint64_t Process = Member.Process;
  bool Fails = this->faulty(KeyFaultKind::StoreRefuses, Member.Number) ||
               this->faulty(KeyFaultKind::StoreDown, Member.Number) ||
               this->faulty(KeyFaultKind::StoreSilent, Member.Number);
  this->at(this->randomSpan(1, 60), [this, &Member, Table, OnDone, Process,
                                     Fails] {
    std::optional<StoreRows> Read;
    if (!Fails) {
      Read = this->rowsOf(Table);
    }
    this->at(this->randomSpan(1, 60), [this, &Member, Read, OnDone, Process] {
      if (Member.Process == Process) {
        this->deliver(Member, [OnDone, Read] { OnDone(Read); });
      }
    });
  });
}

void KeyWorld::followAll() {
  for (auto &Owned : this->Nodes) {
    Node &Member = *Owned;
    if (!Member.Keeper || this->Now < Member.NextFollow) {
      continue;
    }
    Member.NextFollow = this->Now + this->randomSpan(100, 400);
    for (const char *Table : {tables::Instances, tables::Keys}) {
      this->read(Member, Table,
                 [&Member](const std::optional<StoreRows> &Read) {
                   if (!Read) {
                     return;
                   }
                   // As changes, not as a reading of the whole table.
                   StoreRows Changes = *Read;
                   Changes.Complete = false;
                   Member.View->apply(Changes);
                 });
    }

    InstanceRow Row = Member.row();
    if (Row == Member.Written) {
      continue;
    }
    TableTransaction Write;
    Write.Writes.push_back({MeshView::instanceKey(Member.Name), Row.toText()});
    this->commit(Member, Write, [&Member, Row](const StoreCommit &Commit) {
      if (Commit.Result.Outcome == CommitOutcome::Committed) {
        Member.Written = Row;
      }
    });
  }
}

// Backend servers

void KeyWorld::report(Node &Member) {
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
  Server.NextReport = this->Now + Heartbeat;
  if (this->faulty(KeyFaultKind::ReportsCut, Member.Number)) {
    return;
  }

  // Now and then a report comes late.
  bool Late = this->Random() % 20 == 0;
  Duration Delay = Late ? this->randomSpan(200, 2500) : this->randomSpan(0, 5);
  this->at(Delay, [this, &Member, Report, SentAt] {
    this->deliver(Member, [this, &Member, Report, SentAt] {
      // As LocalServer: only what is newer than all before it counts.
      if (Report.Incarnation != Member.Server.Run ||
          Report.Sequence <= Member.Newest) {
        return;
      }
      Member.Newest = Report.Sequence;
      Member.Keeper->onReport(Report, this->Now);
      auto Grants = Member.Keeper->grant(this->Now, this->Now);
      if (!Grants || this->Now - SentAt > AnswerLimit) {
        return;
      }
      this->at(this->randomSpan(0, 5), [this, &Member, Report, SentAt, Grants] {
        this->takeAnswer(Member, Report.Incarnation, SentAt, *Grants);
      });
    });
  });
}

void KeyWorld::takeAnswer(Node &Member, const ServerIncarnation &Run,
                          TimePoint SentAt, const KeyGrants &Grants) {
  SimServer &Server = Member.Server;
  if (!Server.Up || Server.Run != Run) {
    return;
  }
  Server.Released.clear();
  TimePoint Until = SentAt + std::chrono::duration_cast<Duration>(
                                 Grants.HoldTime * SlowClock);

  std::vector<SimServer::Hold> Next;
  for (const GrantedKeys &Given : Grants.Granted) {
    Next.push_back({Given.Keys, Given.Token, Until, std::nullopt});
  }

  // What is left out is let go once the work on it is done.
  for (const SimServer::Hold &Held : Server.Holds) {
    KeyNumber From = Held.Keys.First;
    for (const GrantedKeys &Given : Grants.Granted) {
      if (!Given.Keys.overlaps({From, Held.Keys.Last})) {
        continue;
      }
      if (Given.Keys.First > From) {
        Next.push_back(
            {{From, Given.Keys.First - 1},
             Held.Token,
             Held.Until,
             Held.LetGoAt.value_or(this->Now + this->randomSpan(0, 600))});
      }
      From = std::max(From, Given.Keys.Last + 1);
      if (From > Held.Keys.Last) {
        break;
      }
    }
    if (From <= Held.Keys.Last) {
      Next.push_back(
          {{From, Held.Keys.Last},
           Held.Token,
           Held.Until,
           Held.LetGoAt.value_or(this->Now + this->randomSpan(0, 600))});
      Server.NextReport =
          std::min<TimePoint>(Server.NextReport, this->Now + milliseconds(100));
    }
  }
  Server.Holds = std::move(Next);

  for (const SimServer::Hold &Held : Server.Holds) {
    for (KeyNumber Key = 0; Key <= MaxKey; Key += ProbeStride) {
      if (!Held.Keys.contains(Key) || Held.LetGoAt) {
        continue;
      }
      FencingToken &Most = this->Highest[Key];
      if (Held.Token < Most) {
        this->Complaint = "a key was given with a token that is not above all";
      }
      Most = std::max(Most, Held.Token);
    }
  }
}

// Steps

void KeyWorld::checkHolders() {
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
            this->Complaint =
                "two servers hold " + std::to_string(Here.Keys.First) +
                ".. and " + std::to_string(There.Keys.First) + ".. at " +
                std::to_string(toMilliseconds(this->Now - this->Begin)) + " ms";
          }
        }
      }
    }
  }
}

void KeyWorld::step() {
  this->Now += Step;
  this->applyFaults();

  for (auto &Owned : this->Nodes) {
    Node &Member = *Owned;
    SimServer &Server = Member.Server;
    for (SimServer::Hold &Held : Server.Holds) {
      bool LetGo = Held.LetGoAt && this->Now >= *Held.LetGoAt;
      if (LetGo && this->Now < Held.Until) {
        Server.Released.push_back({Held.Keys, "state"});
      }
    }
    std::erase_if(Server.Holds, [&](const SimServer::Hold &Held) {
      return this->Now >= Held.Until ||
             (Held.LetGoAt && this->Now >= *Held.LetGoAt);
    });
    if (Server.Up && this->Now >= Server.NextReport) {
      this->report(Member);
    }

    bool Runs = Member.Keeper &&
                !this->faulty(KeyFaultKind::DaemonFrozen, Member.Number);
    if (Runs) {
      std::vector<std::function<void()>> Waiting;
      Waiting.swap(Member.Held);
      for (const auto &Action : Waiting) {
        Action();
      }
      if (this->Now >= Member.NextTick) {
        Member.NextTick = this->Now + TickInterval;
        this->recordKeyLoads(Member);
        Member.Keeper->setLoad(Member.Load);
        Member.Keeper->tick(this->Now);
      }
    }
  }

  this->followAll();
  while (!this->Events.empty() && this->Events.begin()->first <= this->Now) {
    auto Action = std::move(this->Events.begin()->second);
    this->Events.erase(this->Events.begin());
    Action();
  }
  this->checkHolders();
}

bool KeyWorld::run(Duration Span) {
  TimePoint End = this->Now + Span;
  while (this->Now < End && this->Complaint.empty()) {
    this->step();
  }
  return this->Complaint.empty();
}

std::uint32_t KeyWorld::heldBy(int Who) const {
  std::uint32_t Count = 0;
  for (const SimServer::Hold &Held :
       this->Nodes[static_cast<std::size_t>(Who)]->Server.Holds) {
    Count += Held.LetGoAt ? 0 : Held.Keys.size();
  }
  return Count;
}

bool KeyWorld::allHeld() const {
  std::uint32_t Count = 0;
  for (std::size_t Who = 0; Who < this->Nodes.size(); ++Who) {
    Count += this->heldBy(static_cast<int>(Who));
  }
  return Count == MaxKey + 1;
}

void KeyWorld::setKeyLoad(const KeyRange &Keys, double Slots) {
  for (KeyNumber Key = Keys.First; Key <= Keys.Last; ++Key) {
    this->KeyLoads[Key] = Slots;
  }
}

double KeyWorld::wantedAt(int Who) const {
  double Slots = 0;
  for (const SimServer::Hold &Held :
       this->Nodes[static_cast<std::size_t>(Who)]->Server.Holds) {
    auto End = this->KeyLoads.upper_bound(Held.Keys.Last);
    for (auto Key = this->KeyLoads.lower_bound(Held.Keys.First); Key != End;
         ++Key) {
      Slots += Held.LetGoAt ? 0 : Key->second;
    }
  }
  return Slots / SlotsEach;
}

void KeyWorld::recordKeyLoads(Node &Member) {
  if (this->KeyLoads.empty()) {
    return;
  }

  // Measured loads follow what is asked for with a time constant of a second.
  double Wanted = this->wantedAt(Member.Number);
  double Seconds = std::chrono::duration<double>(TickInterval).count();
  Member.Load += Seconds * (Wanted - Member.Load);
  for (const SimServer::Hold &Held : Member.Server.Holds) {
    auto End = this->KeyLoads.upper_bound(Held.Keys.Last);
    for (auto Key = this->KeyLoads.lower_bound(Held.Keys.First); Key != End;
         ++Key) {
      auto Busy = std::chrono::duration<double>(Key->second * Seconds);
      Member.Keeper->recordLoad(
          Key->first, std::chrono::duration_cast<Duration>(Busy), this->Now);
    }
  }
}

void KeyWorld::setLoad(int Who, double Load) {
  this->Nodes[static_cast<std::size_t>(Who)]->Load = Load;
}

} // namespace hemlockspar
