#pragma once

#include "coordination/Member.h"
#include "platform/InMemoryTable.h"

#include <memory>
#include <queue>
#include <random>
#include <set>

namespace hemlockspar {

/// What goes wrong in a run.
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

  /// What the member writes takes effect, but it hears of no row: neither
  /// answers of the table nor rows of peers reach it.
  HearNoRows,
};

inline constexpr int FaultKindCount = 12;

/// One fault: what, whom, when and for how long.
struct Fault {
  FaultKind Kind = FaultKind::Pause;
  int Who = 0;
  int Whom = 0;
  Duration At{};
  Duration Lasting{};
};

/// Several members, a table and a network between them, in simulated time.
/// Messages are delayed, lost and doubled; clocks run at different rates.
class MemberWorld {
public:
  static constexpr int MostMembers = 7;
  static constexpr SlotIndex SlotCount = 16;
  static constexpr char Keyspace[] = "menus";

  MemberWorld(std::uint64_t Seed, int MemberCount);
  ~MemberWorld();

  void inject(const std::vector<Fault> &Faults);

  /// Runs until \p Until; stops early when an invariant is broken.
  void run(Duration Until);

  /// Ends all faults and starts dead members again.
  void heal();

  /// The broken invariant, or empty.
  const std::string &violation() const { return this->Violation; }

  /// Slots that no member would dispatch for now.
  std::size_t unservedSlots() const;

  /// Attempts to take over, of all members.
  std::size_t campaigns() const;

  /// Members that witness for more than \p Most others.
  std::size_t busyWitnesses(std::size_t Most) const;

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

  void after(Duration Delay, std::function<void()> Action);
  void startNode(int Index);
  void tickLoop(int Index, std::uint64_t Generation);
  void apply(const Fault &Planned);
  void moveSlots(int Who, int Whom);
  void checkInvariants();

  /// Runs \p Action on a node once it is not paused; drops it when the node
  /// has died meanwhile.
  void deliver(int Index, std::uint64_t Generation,
               const std::function<void(Member &, TimePoint)> &Action);
  void send(int From, int To,
            const std::function<void(Member &, TimePoint)> &Action);
  int indexOf(const InstanceId &Id) const;
  TimePoint localTime(int Index) const;
  Duration tableDelay();
  bool chance(double Probability);
  Duration span(Duration Least, Duration Most);

  int MemberCount;
  std::mt19937_64 Random;
  Duration Now{};
  std::uint64_t EventOrder = 0;
  std::priority_queue<Event> Events;

  InMemoryTable Table;
  Duration TableDownUntil{};
  Duration TableSlowUntil{};
  Duration LoseRepliesUntil{};
  Duration LateWritesUntil{};
  Duration LoseMessagesUntil{};
  std::set<std::pair<int, int>> Cuts;

  std::vector<std::unique_ptr<Node>> Nodes;
  std::vector<FencingToken> HighestToken;
  std::string Violation;

  friend struct Node;
};

} // namespace hemlockspar
