#include "tests/coordination/MemberWorld.h"

#include "coordination/Transfers.h"
#include "tests/coordination/MemberNode.h"

#include <sstream>

namespace hemlockspar {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Clock rates differ by up to this; the protocol allows for 4%.
constexpr double MaxDrift = 0.009;

} // namespace

MemberWorld::MemberWorld(std::uint64_t Seed, int MemberCount)
    : MemberCount(MemberCount), Random(Seed), HighestToken(SlotCount) {
  TableTransaction Declared;
  PoolRow Pool;
  Pool.Service = Keyspace;
  Pool.Slots.addRange(0, SlotCount, 0);
  writeAt(Declared, poolKey(Keyspace), 0, Pool.toText());
  this->Table.commit(Declared);

  std::uniform_real_distribution<double> Drift(-MaxDrift, MaxDrift);
  for (int Index = 0; Index < this->MemberCount; ++Index) {
    this->Nodes.push_back(std::make_unique<Node>(*this, Index));
    this->Nodes.back()->Rate = 1 + Drift(this->Random);
    this->startNode(Index);
  }
}

MemberWorld::~MemberWorld() = default;

void MemberWorld::startNode(int Index) {
  Node &Started = *this->Nodes[Index];
  ++Started.Generation;
  Started.Frozen.clear();

  MemberIdentity Identity;
  Identity.Instance = "n" + std::to_string(Index);
  Identity.Incarnation = Started.Generation;
  Identity.Region = Index < 4 ? "east" : "west";
  Identity.DataCenter = "dc" + std::to_string(Index / 2);

  // Runs are short; what comes up once a minute must come up in them.
  Timing Times;
  Times.WitnessSpreadInterval = seconds(4);

  Started.Self = std::make_unique<Member>(
      Identity, Times, Started, this->Random(), this->localTime(Index));
  Started.Self->setBackend({Keyspace, 6, true});
  this->tickLoop(Index, Started.Generation);
}

void MemberWorld::tickLoop(int Index, std::uint64_t Generation) {
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
  this->after(Next, [=, this] { this->tickLoop(Index, Generation); });
}

void MemberWorld::after(Duration Delay, std::function<void()> Action) {
  this->Events.push({this->Now + Delay, ++this->EventOrder, std::move(Action)});
}

void MemberWorld::deliver(
    int Index, std::uint64_t Generation,
    const std::function<void(Member &, TimePoint)> &Action) {
  Node &Receiver = *this->Nodes[Index];
  if (Receiver.Generation != Generation || !Receiver.Self) {
    return;
  }
  if (this->Now < Receiver.PausedUntil) {
    this->after(Receiver.PausedUntil - this->Now,
                [=, this] { this->deliver(Index, Generation, Action); });
    return;
  }
  Action(*Receiver.Self, this->localTime(Index));
}

void MemberWorld::send(int From, int To,
                       const std::function<void(Member &, TimePoint)> &Action) {
  bool Lossy = this->Now < this->LoseMessagesUntil;
  bool Lost =
      this->Cuts.contains({From, To}) || this->chance(Lossy ? 0.4 : 0.005);
  int Copies = Lost ? 0 : (this->chance(0.01) ? 2 : 1);

  for (int Copy = 0; Copy < Copies; ++Copy) {
    bool Slow = this->chance(0.01);
    Duration Way = this->span(milliseconds(1),
                              Slow ? milliseconds(3000) : milliseconds(30));
    std::uint64_t Generation = this->Nodes[To]->Generation;
    this->after(Way, [=, this] { this->deliver(To, Generation, Action); });
  }
}

void MemberWorld::inject(const std::vector<Fault> &Faults) {
  for (const Fault &Planned : Faults) {
    this->after(Planned.At, [=, this] { this->apply(Planned); });
  }
}

void MemberWorld::apply(const Fault &Planned) {
  int Who = Planned.Who % this->MemberCount;
  int Whom = Planned.Whom % this->MemberCount;
  Duration Until = this->Now + Planned.Lasting;
  Node &Hit = *this->Nodes[Who];

  switch (Planned.Kind) {
  case FaultKind::Pause:
    Hit.PausedUntil = std::max(Hit.PausedUntil, Until);
    return;
  case FaultKind::Kill:
    Hit.Self.reset();
    ++Hit.Generation;
    this->after(Planned.Lasting, [=, this] {
      if (!this->Nodes[Who]->Self) {
        this->startNode(Who);
      }
    });
    return;
  case FaultKind::CutBothWays:
  case FaultKind::CutOneWay:
    for (int Other = 0; Other < this->MemberCount; ++Other) {
      bool Cut = Planned.Kind == FaultKind::CutBothWays || Other == Whom;
      if (Cut && Other != Who) {
        this->Cuts.insert({Who, Other});
      }
      if (Cut && Other != Who && Planned.Kind == FaultKind::CutBothWays) {
        this->Cuts.insert({Other, Who});
      }
    }
    this->after(Planned.Lasting, [=, this] {
      std::erase_if(this->Cuts, [=](const auto &Link) {
        return Link.first == Who || Link.second == Who;
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
    this->LoseRepliesUntil = Until;
    return;
  case FaultKind::LateTableWrites:
    this->LateWritesUntil = Until;
    return;
  case FaultKind::LoseMessages:
    this->LoseMessagesUntil = Until;
    return;
  case FaultKind::Drain:
    if (Hit.Self) {
      Hit.Self->setBackend({Keyspace, 6, false});
      this->after(Planned.Lasting, [=, this] {
        if (this->Nodes[Who]->Self) {
          this->Nodes[Who]->Self->setBackend({Keyspace, 6, true});
        }
      });
    }
    return;
  case FaultKind::HearNoRows:
    Hit.DeafUntil = Until;
    return;
  case FaultKind::MoveSlots:
    this->moveSlots(Who, Whom);
    return;
  }
}

void MemberWorld::moveSlots(int Who, int Whom) {
  // The first from there on that owns slots, so that few moves come to nothing.
  for (int Step = 0; Step < this->MemberCount; ++Step) {
    int Owner = (Who + Step) % this->MemberCount;
    Node &Hit = *this->Nodes[Owner];

    if (Hit.Self && Whom != Owner && Hit.heldNow()) {
      OwnLoad Heavy;
      Heavy.Status.Utilization = 0.9;
      for (SlotIndex Slot = 0; Slot < SlotCount; ++Slot) {
        Heavy.Busiest.push_back({Keyspace, Slot, 0.1});
      }
      Hit.Self->setLoad(Heavy);

      LoadStatus Empty;
      Empty.Capacity = 6;
      Empty.Accepting = true;
      Hit.Self->onLoadReply("n" + std::to_string(Whom), Empty,
                            this->localTime(Owner));
      return;
    }
  }
}

void MemberWorld::heal() {
  this->TableDownUntil = this->Now;
  this->TableSlowUntil = this->Now;
  this->LoseRepliesUntil = this->Now;
  this->LateWritesUntil = this->Now;
  this->LoseMessagesUntil = this->Now;
  this->Cuts.clear();

  for (int Index = 0; Index < this->MemberCount; ++Index) {
    Node &Healed = *this->Nodes[Index];
    Healed.PausedUntil = this->Now;
    Healed.DeafUntil = this->Now;
    if (!Healed.Self) {
      this->startNode(Index);
    }
    Healed.Self->setBackend({Keyspace, 6, true});
  }
}

void MemberWorld::run(Duration Until) {
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

void MemberWorld::checkInvariants() {
  std::vector<int> Owners(SlotCount);

  for (const auto &Checked : this->Nodes) {
    const SlotGrants *Held = Checked->heldNow();
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

std::size_t MemberWorld::unservedSlots() const {
  std::size_t Unserved = 0;
  for (SlotIndex Slot = 0; Slot < SlotCount; ++Slot) {
    Unserved += std::none_of(
        this->Nodes.begin(), this->Nodes.end(),
        [=](const auto &Checked) { return Checked->dispatches(Slot); });
  }
  return Unserved;
}

std::size_t MemberWorld::campaigns() const {
  std::size_t Count = 0;
  for (const auto &Counted : this->Nodes) {
    Count += Counted->Self ? Counted->Self->campaignCount() : 0;
  }
  return Count;
}

std::size_t MemberWorld::busyWitnesses(std::size_t Most) const {
  return std::count_if(
      this->Nodes.begin(), this->Nodes.end(), [&](const auto &Counted) {
        return Counted->Self && Counted->Self->witnessedCount() > Most;
      });
}

std::string MemberWorld::describe() const {
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

int MemberWorld::indexOf(const InstanceId &Id) const {
  return std::stoi(Id.substr(1));
}

TimePoint MemberWorld::localTime(int Index) const {
  auto Elapsed = std::chrono::duration_cast<Duration>(this->Now *
                                                      this->Nodes[Index]->Rate);
  return TimePoint(std::chrono::hours(1)) + Elapsed;
}

Duration MemberWorld::tableDelay() {
  bool Slow = this->Now < this->TableSlowUntil;
  return Slow ? this->span(milliseconds(200), milliseconds(1500))
              : this->span(milliseconds(1), milliseconds(10));
}

bool MemberWorld::chance(double Probability) {
  return std::uniform_real_distribution<double>(0, 1)(this->Random) <
         Probability;
}

Duration MemberWorld::span(Duration Least, Duration Most) {
  std::uniform_int_distribution<Duration::rep> Spread(Least.count(),
                                                      Most.count());
  return Duration(Spread(this->Random));
}

} // namespace hemlockspar
