#include "bench/PlacementModel.h"

#include "core/EnumNames.h"
#include "core/Hash.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cmath>

namespace hemlockspar {

namespace {

constexpr std::array<const char *, 3> MethodNames = {"rendezvous", "few_moves",
                                                     "peak"};
constexpr std::array<const char *, 3> ScenarioNames = {"steady", "hot_keys",
                                                       "churn"};

const std::string Keyspace = "menus";
constexpr std::size_t InstanceCount = 6;
constexpr SlotIndex SlotCount = 6 * 91;

/// Concurrent requests that the backend server of an instance runs.
constexpr std::uint32_t Capacity = 20;
constexpr std::size_t KeyCount = 10000;

/// Total demand divided by the capacity of all instances.
constexpr double MeanUtilisation = 0.5;

/// Exponent s of the Zipf distribution: the demand of the key of rank R is
/// proportional to 1 / R^s.
constexpr double ZipfExponent = 0.8;
constexpr std::size_t HotKeyCount = 10;
constexpr double HotShare = 0.3;

constexpr int SettleSeconds = 120;
constexpr int SecondsPerMinute = 60;

/// The daemons compare loads with two peers every 1 to 3 s.
constexpr int BalanceIntervalSeconds = 2;
constexpr std::size_t SampledPeers = 2;

} // namespace

const char *nameOf(PlacementMethod Method) {
  return enumName(MethodNames, Method);
}

const char *nameOf(PlacementScenario Scenario) {
  return enumName(ScenarioNames, Scenario);
}

PlacementModel::PlacementModel(PlacementMethod Method,
                               PlacementScenario Scenario, std::uint64_t Seed)
    : Method(Method), Scenario(Scenario), Random(Seed),
      Now(std::chrono::hours(1)), OwnerOf(SlotCount), Demand(SlotCount) {
  auto Preference = Method == PlacementMethod::Peak
                        ? PlacementPreference::Peak
                        : PlacementPreference::FewMoves;
  for (std::size_t Index = 0; Index < InstanceCount; ++Index) {
    this->Instances.emplace_back(Preference);
  }

  this->drawDemand();
  this->placeInitially();
}

PlacementResult PlacementModel::run(std::chrono::minutes Length) {
  PlacementResult Result;
  int Seconds = static_cast<int>(std::chrono::seconds(Length).count());

  for (int Second = 0; Second < SettleSeconds; ++Second) {
    this->simulateSecond(Second);
  }

  this->MoveCount = 0;
  for (int Second = 0; Second < Seconds; ++Second) {
    this->simulateSecond(SettleSeconds + Second);
    this->recordSample(Result);
  }

  Result.SlotsMovedPerMinute = double(this->MoveCount) / double(Length.count());
  Result.OverloadedShare /= Seconds;
  return Result;
}

void PlacementModel::simulateSecond(int Second) {
  this->Now += std::chrono::seconds(1);
  int Minute = Second / SecondsPerMinute;
  bool NewMinute = Second % SecondsPerMinute == 0 && Minute > 0;

  if (NewMinute && this->Scenario != PlacementScenario::Steady) {
    this->drawDemand();
  }
  if (NewMinute && this->Scenario == PlacementScenario::Churn) {
    std::size_t Index = std::size_t(Minute / 2) % InstanceCount;
    this->setAccepting(Index, Minute % 2 != 0);
  }

  this->measureLoad();
  if (this->Method == PlacementMethod::Rendezvous) {
    return;
  }

  for (std::size_t Index = 0; Index < InstanceCount; ++Index) {
    if ((Second + int(Index)) % BalanceIntervalSeconds == 0) {
      this->rebalance(Index);
    }
  }
}

void PlacementModel::drawDemand() {
  bool Hot = this->Scenario != PlacementScenario::Steady;
  double Total = MeanUtilisation * double(Capacity) * double(InstanceCount);
  double SpreadDemand = Hot ? Total * (1 - HotShare) : Total;

  double Weights = 0;
  for (std::size_t Rank = 1; Rank <= KeyCount; ++Rank) {
    Weights += std::pow(double(Rank), -ZipfExponent);
  }

  std::fill(this->Demand.begin(), this->Demand.end(), 0);
  for (std::size_t Rank = 1; Rank <= KeyCount; ++Rank) {
    SlotIndex Slot = slotOfKey(absl::StrCat("k", Rank), SlotCount);
    this->Demand[Slot] +=
        SpreadDemand * std::pow(double(Rank), -ZipfExponent) / Weights;
  }

  std::uniform_int_distribution<SlotIndex> AnySlot(0, SlotCount - 1);
  for (std::size_t Key = 0; Hot && Key < HotKeyCount; ++Key) {
    this->Demand[AnySlot(this->Random)] += Total * HotShare / HotKeyCount;
  }
}

void PlacementModel::placeInitially() {
  for (SlotIndex Slot = 0; Slot < SlotCount; ++Slot) {
    std::size_t Owner = Slot % InstanceCount;
    this->OwnerOf[Slot] = Owner;
    this->Instances[Owner].Owned[Keyspace].add({Slot, 1});
  }
  if (this->Method == PlacementMethod::Rendezvous) {
    this->placeByHash();
  }
}

void PlacementModel::placeByHash() {
  for (SlotIndex Slot = 0; Slot < SlotCount; ++Slot) {
    this->move(Slot, this->instanceWithHighestHash(Slot));
  }
}

void PlacementModel::setAccepting(std::size_t Index, bool Accepting) {
  this->Instances[Index].Accepting = Accepting;

  if (this->Method == PlacementMethod::Rendezvous) {
    this->placeByHash();
  } else if (!Accepting) {
    this->drainInstance(Index);
  }
}

void PlacementModel::drainInstance(std::size_t Index) {
  SlotsByKeyspace Left = this->Instances[Index].Owned;
  for (const SlotGrant &Grant : Left[Keyspace]) {
    this->move(Grant.Slot, this->instanceWithFewestSlots());
  }
}

void PlacementModel::measureLoad() {
  for (SlotIndex Slot = 0; Slot < SlotCount; ++Slot) {
    auto Busy = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(this->Demand[Slot]));
    this->Instances[this->OwnerOf[Slot]].Meter.record(Keyspace, Slot, Busy);
  }
  for (Instance &Measured : this->Instances) {
    Measured.Load = Measured.Meter.report(Capacity, 0, this->Now);
  }
}

void PlacementModel::rebalance(std::size_t Index) {
  Instance &Giver = this->Instances[Index];
  if (!Giver.Accepting) {
    return;
  }

  std::vector<std::size_t> Peers;
  for (std::size_t Peer = 0; Peer < InstanceCount; ++Peer) {
    if (Peer != Index && this->Instances[Peer].Accepting) {
      Peers.push_back(Peer);
    }
  }
  std::shuffle(Peers.begin(), Peers.end(), this->Random);
  Peers.resize(std::min(Peers.size(), SampledPeers));

  for (std::size_t Peer : Peers) {
    OwnLoad Own = Giver.Load;
    Own.Status = this->statusOf(Index);
    SlotsByKeyspace Chosen = Giver.Balancer.choose(
        Own, Giver.Owned, this->statusOf(Peer), this->Now);
    if (Chosen.empty()) {
      continue;
    }

    for (const SlotGrant &Grant : Chosen[Keyspace]) {
      this->move(Grant.Slot, Peer);
    }
    return;
  }
}

void PlacementModel::move(SlotIndex Slot, std::size_t To) {
  std::size_t From = this->OwnerOf[Slot];
  if (From == To) {
    return;
  }

  auto Token = this->Instances[From].Owned[Keyspace].remove(Slot);
  this->Instances[To].Owned[Keyspace].add({Slot, Token.value_or(0) + 1});
  this->OwnerOf[Slot] = To;
  ++this->MoveCount;
}

std::size_t PlacementModel::instanceWithHighestHash(SlotIndex Slot) const {
  std::size_t Chosen = 0;
  std::uint64_t Greatest = 0;

  for (std::size_t Index = 0; Index < InstanceCount; ++Index) {
    std::uint64_t Hash = stableHash(absl::StrCat(Slot, "/", Index));
    if (this->Instances[Index].Accepting && Hash >= Greatest) {
      Chosen = Index;
      Greatest = Hash;
    }
  }
  return Chosen;
}

std::size_t PlacementModel::instanceWithFewestSlots() const {
  std::size_t Chosen = 0;
  std::size_t Fewest = SlotCount + 1;

  for (std::size_t Index = 0; Index < InstanceCount; ++Index) {
    std::size_t Count = countSlots(this->Instances[Index].Owned);
    if (this->Instances[Index].Accepting && Count < Fewest) {
      Chosen = Index;
      Fewest = Count;
    }
  }
  return Chosen;
}

LoadStatus PlacementModel::statusOf(std::size_t Index) const {
  const Instance &Asked = this->Instances[Index];
  LoadStatus Status = Asked.Load.Status;
  Status.SlotCount = static_cast<std::uint32_t>(countSlots(Asked.Owned));
  Status.Capacity = Capacity;
  Status.Accepting = Asked.Accepting;
  return Status;
}

void PlacementModel::recordSample(PlacementResult &Result) const {
  std::vector<double> Use(InstanceCount);
  double Total = 0;
  for (SlotIndex Slot = 0; Slot < SlotCount; ++Slot) {
    Use[this->OwnerOf[Slot]] += this->Demand[Slot];
    Total += this->Demand[Slot];
  }

  auto Accepting =
      std::count_if(this->Instances.begin(), this->Instances.end(),
                    [](const Instance &Known) { return Known.Accepting; });
  double Highest = *std::max_element(Use.begin(), Use.end());
  Result.Imbalance.push_back(Highest * double(Accepting) / Total);
  Result.OverloadedShare += Highest > double(Capacity);
}

} // namespace hemlockspar
