#pragma once

#include "coordination/Member.h"
#include "platform/InMemoryTable.h"

#include <memory>
#include <queue>
#include <random>
#include <set>

namespace hemlockspar {

/// Faults that a simulation can inject.
enum class FaultKind {
  Pause,
  Kill,
  CutBothWays,
  CutOneWay,
  TableDown,
  TableSlow,
  LoseTableReplies,
  LateTableWrites,
  LoseMessages,
  Drain,
  MoveSlots,

  /// The member's writes take effect, but it receives no rows: neither answers
  /// of the table nor rows of peers reach it.
  BlockIncomingRows,
};

inline constexpr int FaultKindCount = 12;

/// A fault: its kind, the member affected, its start and its length. Peer is
/// the other member, for the kinds that need one.
struct Fault {
  FaultKind Kind = FaultKind::Pause;
  int Target = 0;
  int Peer = 0;
  Duration At{};
  Duration Length{};
};

/// Simulates several members, a table and the network between them. Messages
/// are delayed, lost and duplicated; clocks run at different rates.
class MemberSimulation {
public:
  static constexpr int MaxMembers = 7;
  static constexpr SlotIndex SlotCount = 16;
  static constexpr char Keyspace[] = "menus";

  MemberSimulation(std::uint64_t Seed, int MemberCount);
  ~MemberSimulation();

  void inject(const std::vector<Fault> &Faults);

  /// Runs until \p Until; stops early when an invariant is violated.
  void run(Duration Until);

  /// Ends all faults and restarts dead members.
  void endFaults();

  /// The violated invariant, or empty.
  const std::string &violation() const { return this->Violation; }

  /// Number of slots for which no member dispatches requests now.
  std::size_t countUnservedSlots() const;

  /// Number of takeover campaigns of all members.
  std::size_t countCampaigns() const;

  /// Number of members that are witnesses for more than \p Most others.
  std::size_t countOverloadedWitnesses(std::size_t Most) const;

  /// The state of every member, for the report of a failure.
  std::string describe() const;

  Duration now() const { return this->Now; }

private:
  struct Node;
  struct Event {
    Duration At;
    std::uint64_t Order;
    std::function<void()> Action;

    bool operator<(const Event &Other) const {
      return std::tie(this->At, this->Order) > std::tie(Other.At, Other.Order);
    }
  };

  void schedule(Duration Delay, std::function<void()> Action);
  void startNode(int Index);
  void tickLoop(int Index, std::uint64_t Generation);
  void applyFault(const Fault &Planned);
  void moveSlots(int Target, int Peer);
  void checkInvariants();

  /// Runs \p Action on a node as soon as it is not paused; drops it when the
  /// node has died or restarted in the meantime.
  void deliver(int Index, std::uint64_t Generation,
               const std::function<void(Member &, TimePoint)> &Action);
  void send(int From, int To,
            const std::function<void(Member &, TimePoint)> &Action);
  int indexOf(const InstanceId &Id) const;
  TimePoint localTime(int Index) const;
  Duration randomTableDelay();
  bool randomChance(double Probability);
  Duration randomDuration(Duration Least, Duration Most);

  int MemberCount;
  std::mt19937_64 Random;
  Duration Now{};
  std::uint64_t EventOrder = 0;
  std::priority_queue<Event> Events;

  InMemoryTable Table;
  Duration TableDownUntil{};
  Duration TableSlowUntil{};
  Duration LoseTableRepliesUntil{};
  Duration LateTableWritesUntil{};
  Duration LoseMessagesUntil{};
  std::set<std::pair<int, int>> Cuts;

  std::vector<std::unique_ptr<Node>> Nodes;
  std::vector<FencingToken> HighestToken;
  std::string Violation;

  friend struct Node;
};

} // namespace hemlockspar
