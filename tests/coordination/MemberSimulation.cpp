#include "tests/coordination/MemberSimulation.h"

#include "coordination/TransferBuilder.h"
#include "tests/coordination/MemberNode.h"

#include <sstream>

namespace hemlockspar {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Maximum deviation of a clock's rate from real time; the protocol allows 4%
/// between two clocks.
constexpr double MaxDrift = 0.009;

} // namespace

MemberSimulation::MemberSimulation(std::uint64_t Seed, int MemberCount)
    : MemberCount(MemberCount), Random(Seed), HighestToken(SlotCount) {
  TableTransaction Declared;
  PoolRow Pool;
  Pool.Service = Keyspace;
  Pool.Slots.addRange(0, SlotCount, 0);
  addConditionalWrite(Declared, poolKey(Keyspace), 0, Pool.toText());
  this->Table.commit(Declared);

  std::uniform_real_distribution<double> Drift(-MaxDrift, MaxDrift);
  for (int Index = 0; Index < this->MemberCount; ++Index) {
    this->Nodes.push_back(std::make_unique<Node>(*this, Index));
    this->Nodes.back()->ClockRate = 1 + Drift(this->Random);
    this->startNode(Index);
  }
}

MemberSimulation::~MemberSimulation() = default;

void MemberSimulation::startNode(int Index) {
  Node &Started = *this->Nodes[Index];
  ++Started.Generation;
  Started.Frozen.clear();

  MemberIdentity Identity;
  Identity.Instance = "n" + std::to_string(Index);
  Identity.Incarnation = Started.Generation;
  Identity.Region = Index < 4 ? "east" : "west";
  Identity.DataCenter = "dc" + std::to_string(Index / 2);

  // Runs are shorter than the default interval of one minute.
  Timing Times;
  Times.WitnessRebalanceInterval = seconds(4);

  Started.Self = std::make_unique<Member>(
      Identity, Times, Started, this->Random(), this->localTime(Index));
  Started.Self->setBackend({Keyspace, 6, true});
  this->tickLoop(Index, Started.Generation);
}

void MemberSimulation::tickLoop(int Index, std::uint64_t Generation) {
  Node &Ticked = *this->Nodes[Index];
  if (Ticked.Generation != Generation || !Ticked.Self) {
    return;
  }

  Duration Next = Member::TickInterval;
  if (this->Now < Ticked.PausedUntil) {
    Next = Ticked.PausedUntil - this->Now;
  } else {
    Ticked.Self->tick(this->localTime(Index));
  }
  this->schedule(Next, [=, this] { this->tickLoop(Index, Generation); });
}

void MemberSimulation::schedule(Duration Delay, std::function<void()> Action) {
  this->Events.push({this->Now + Delay, ++this->EventOrder, std::move(Action)});
}

void MemberSimulation::deliver(
    int Index, std::uint64_t Generation,
    const std::function<void(Member &, TimePoint)> &Action) {
  Node &Receiver = *this->Nodes[Index];
  if (Receiver.Generation != Generation || !Receiver.Self) {
    return;
  }
  if (this->Now < Receiver.PausedUntil) {
    this->schedule(Receiver.PausedUntil - this->Now,
                   [=, this] { this->deliver(Index, Generation, Action); });
    return;
  }
  Action(*Receiver.Self, this->localTime(Index));
}

void MemberSimulation::send(
    int From, int To, const std::function<void(Member &, TimePoint)> &Action) {
  bool Lossy = this->Now < this->LoseMessagesUntil;
  bool Lost = this->Cuts.contains({From, To}) ||
              this->randomChance(Lossy ? 0.4 : 0.005);
  int Copies = Lost ? 0 : (this->randomChance(0.01) ? 2 : 1);

  for (int Copy = 0; Copy < Copies; ++Copy) {
    bool Slow = this->randomChance(0.01);
    Duration Way = this->randomDuration(
        milliseconds(1), Slow ? milliseconds(3000) : milliseconds(30));
    std::uint64_t Generation = this->Nodes[To]->Generation;
    this->schedule(Way, [=, this] { this->deliver(To, Generation, Action); });
  }
}

void MemberSimulation::inject(const std::vector<Fault> &Faults) {
  for (const Fault &Planned : Faults) {
    this->schedule(Planned.At, [=, this] { this->applyFault(Planned); });
  }
}

void MemberSimulation::applyFault(const Fault &Planned) {
  int Target = Planned.Target % this->MemberCount;
  int Peer = Planned.Peer % this->MemberCount;
  Duration Until = this->Now + Planned.Length;
  Node &Affected = *this->Nodes[Target];

  switch (Planned.Kind) {
  case FaultKind::Pause:
    Affected.PausedUntil = std::max(Affected.PausedUntil, Until);
    return;
  case FaultKind::Kill:
    Affected.Self.reset();
    ++Affected.Generation;
    this->schedule(Planned.Length, [=, this] {
      if (!this->Nodes[Target]->Self) {
        this->startNode(Target);
      }
    });
    return;
  case FaultKind::CutBothWays:
  case FaultKind::CutOneWay:
    for (int Other = 0; Other < this->MemberCount; ++Other) {
      bool Cut = Planned.Kind == FaultKind::CutBothWays || Other == Peer;
      if (Cut && Other != Target) {
        this->Cuts.insert({Target, Other});
      }
      if (Cut && Other != Target && Planned.Kind == FaultKind::CutBothWays) {
        this->Cuts.insert({Other, Target});
      }
    }
    this->schedule(Planned.Length, [=, this] {
      std::erase_if(this->Cuts, [=](const auto &Link) {
        return Link.first == Target || Link.second == Target;
      });
    });
    return;
  case FaultKind::TableDown:
    this->TableDownUntil = Until;
    return;
  case FaultKind::TableSlow:
    this->TableSlowUntil = Until;
    return;
  case FaultKind::LoseTableReplies:
    this->LoseTableRepliesUntil = Until;
    return;
  case FaultKind::LateTableWrites:
    this->LateTableWritesUntil = Until;
    return;
  case FaultKind::LoseMessages:
    this->LoseMessagesUntil = Until;
    return;
  case FaultKind::Drain:
    if (Affected.Self) {
      Affected.Self->setBackend({Keyspace, 6, false});
      this->schedule(Planned.Length, [=, this] {
        if (this->Nodes[Target]->Self) {
          this->Nodes[Target]->Self->setBackend({Keyspace, 6, true});
        }
      });
    }
    return;
  case FaultKind::BlockIncomingRows:
    Affected.RowsBlockedUntil = Until;
    return;
  case FaultKind::MoveSlots:
    this->moveSlots(Target, Peer);
    return;
  }
}

void MemberSimulation::moveSlots(int Target, int Peer) {
  // Starts at Target and picks the first member that owns slots, since a move
  // without slots would test nothing.
  for (int Step = 0; Step < this->MemberCount; ++Step) {
    int Owner = (Target + Step) % this->MemberCount;
    Node &Affected = *this->Nodes[Owner];

    if (Affected.Self && Peer != Owner && Affected.servedSlots()) {
      OwnLoad Heavy;
      Heavy.Status.Utilization = 0.9;
      for (SlotIndex Slot = 0; Slot < SlotCount; ++Slot) {
        Heavy.Busiest.push_back({Keyspace, Slot, 0.1});
      }
      Affected.Self->setLoad(Heavy);

      LoadStatus Empty;
      Empty.Capacity = 6;
      Empty.Accepting = true;
      Affected.Self->onLoadReply("n" + std::to_string(Peer), Empty,
                                 this->localTime(Owner));
      return;
    }
  }
}

void MemberSimulation::endFaults() {
  this->TableDownUntil = this->Now;
  this->TableSlowUntil = this->Now;
  this->LoseTableRepliesUntil = this->Now;
  this->LateTableWritesUntil = this->Now;
  this->LoseMessagesUntil = this->Now;
  this->Cuts.clear();

  for (int Index = 0; Index < this->MemberCount; ++Index) {
    Node &Healed = *this->Nodes[Index];
    Healed.PausedUntil = this->Now;
    Healed.RowsBlockedUntil = this->Now;
    if (!Healed.Self) {
      this->startNode(Index);
    }
    Healed.Self->setBackend({Keyspace, 6, true});
  }
}

void MemberSimulation::run(Duration Until) {
  while (!this->Events.empty() && this->Violation.empty() &&
         this->Events.top().At <= Until) {
    Event Next = this->Events.top();
    this->Events.pop();
    this->Now = Next.At;
    Next.Action();
    this->checkInvariants();
  }
  this->Now = std::max(this->Now, Until);
}

void MemberSimulation::checkInvariants() {
  std::vector<int> Owners(SlotCount);

  for (const auto &Checked : this->Nodes) {
    const SlotGrants *Held = Checked->servedSlots();
    if (!Held) {
      continue;
    }

    for (const SlotGrant &Grant : *Held) {
      if (Checked->Frozen.contains(Grant.Slot)) {
        continue;
      }
      if (++Owners[Grant.Slot] > 1) {
        this->Violation =
            "slot " + std::to_string(Grant.Slot) + " has two serving owners";
      }

      FencingToken &Highest = this->HighestToken[Grant.Slot];
      if (Grant.Token < Highest) {
        this->Violation =
            "token of slot " + std::to_string(Grant.Slot) + " fell";
      }
      Highest = std::max(Highest, Grant.Token);
    }
  }
}

std::size_t MemberSimulation::countUnservedSlots() const {
  std::size_t Unserved = 0;
  for (SlotIndex Slot = 0; Slot < SlotCount; ++Slot) {
    Unserved += std::none_of(
        this->Nodes.begin(), this->Nodes.end(),
        [=](const auto &Checked) { return Checked->dispatches(Slot); });
  }
  return Unserved;
}

std::size_t MemberSimulation::countCampaigns() const {
  std::size_t Count = 0;
  for (const auto &Counted : this->Nodes) {
    Count += Counted->Self ? Counted->Self->campaignCount() : 0;
  }
  return Count;
}

std::size_t MemberSimulation::countOverloadedWitnesses(std::size_t Most) const {
  return std::count_if(
      this->Nodes.begin(), this->Nodes.end(), [&](const auto &Counted) {
        return Counted->Self && Counted->Self->witnessedCount() > Most;
      });
}

std::string MemberSimulation::describe() const {
  std::ostringstream Text;

  for (const auto &Shown : this->Nodes) {
    if (!Shown->Self) {
      Text << "dead\n";
      continue;
    }
    TimePoint Local = this->localTime(Shown->Index);
    const Member &Self = *Shown->Self;
    Text << Self.identity().Instance << " " << nameOf(Self.membership())
         << " lease left "
         << (Self.leaseExpiresAt() == TimePoint::min()
                 ? -1
                 : toMilliseconds(Self.leaseExpiresAt() - Local))
         << " ms, frozen " << Shown->Frozen.size() << ", table "
         << Self.tableHealthy() << ", complete "
         << Self.cache().completeVersion() << " of " << this->Table.version()
         << ", campaigns " << Self.campaignCount() << "\n";
  }

  for (const TableRow &Row : this->Table.changesSince(0).Rows) {
    Text << Row.Key << " @" << Row.Version << " " << *Row.Value << "\n";
  }
  return Text.str();
}

int MemberSimulation::indexOf(const InstanceId &Id) const {
  return std::stoi(Id.substr(1));
}

TimePoint MemberSimulation::localTime(int Index) const {
  auto Elapsed = std::chrono::duration_cast<Duration>(
      this->Now * this->Nodes[Index]->ClockRate);
  return TimePoint(std::chrono::hours(1)) + Elapsed;
}

Duration MemberSimulation::randomTableDelay() {
  bool Slow = this->Now < this->TableSlowUntil;
  return Slow ? this->randomDuration(milliseconds(200), milliseconds(1500))
              : this->randomDuration(milliseconds(1), milliseconds(10));
}

bool MemberSimulation::randomChance(double Probability) {
  return std::uniform_real_distribution<double>(0, 1)(this->Random) <
         Probability;
}

Duration MemberSimulation::randomDuration(Duration Least, Duration Most) {
  std::uniform_int_distribution<Duration::rep> Spread(Least.count(),
                                                      Most.count());
  return Duration(Spread(this->Random));
}

} // namespace hemlockspar
