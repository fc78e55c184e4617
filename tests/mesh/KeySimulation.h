#pragma once

#include "mesh/KeyOwnershipManager.h"
#include "mesh/store_access/StoreEra.h"

#include <deque>
#include <functional>
#include <memory>
#include <random>

namespace hemlockspar {

/// Faults that a KeySimulation injects.
enum class KeyFaultKind {
  /// The daemon is killed and restarts when the fault ends.
  DaemonKilled,
  /// The backend server is killed and restarts as another incarnation.
  ServerKilled,
  /// Both are killed at once.
  MachineKilled,
  /// The daemon is suspended; what arrives for it waits.
  DaemonFrozen,
  /// The backend server's reports are lost, though it keeps serving.
  ReportsCut,
  /// The store rejects this machine's calls.
  StoreRefuses,
  /// The store ignores this machine's calls.
  StoreSilent,
  /// The store serves nobody.
  StoreDown,
  /// This machine's writes take effect, but their answers are lost.
  AnswersLost,
  /// This machine's writes get no answer and take effect seconds later.
  WritesLate,
  /// The backend server reports that it is leaving, and stops when the fault
  /// ends.
  ServerLeaves,
  /// Two of five grant and release calls get no answer and are applied 2 to 12
  /// seconds later.
  CallsLate,
  /// The store serves nobody, and comes back from a copy of half a second to
  /// six seconds before.
  StoreRestored,
};

inline constexpr int KeyFaultKindCount = 13;

/// How keys are granted to the backend servers.
enum class GrantKind { Responses, Calls };

struct KeyFault {
  KeyFaultKind Kind = KeyFaultKind::DaemonKilled;
  int NodeIndex = 0;
  Duration StartsAfter{};
  Duration Length{};
};

/// Simulates instances with their ownership managers, backend servers that hold
/// keys by the report protocol, and a store, in simulated time. Checks after
/// each step whether two backend servers hold a key at once.
class KeySimulation {
public:
  static constexpr int MaxNodes = 5;

  KeySimulation(std::uint32_t Seed, int NodeCount,
                GrantKind GrantsAre = GrantKind::Responses);
  ~KeySimulation();

  void inject(const std::vector<KeyFault> &Faults);

  /// Advances the simulation by \p Span. False once an invariant is violated;
  /// see violation.
  bool run(Duration Span);

  /// Whether each key is held by a running backend server.
  bool allKeysHeld() const;

  /// Number of keys held by node \p Index.
  std::uint32_t heldKeyCount(int Index) const;

  /// Sets the load of node \p Index, from 0 to 1.
  void setLoad(int Index, double Load);

  /// Each key of \p Keys gets requests that occupy \p Slots, wherever it is
  /// held. Overrides setLoad.
  void setKeyLoad(const KeyRange &Keys, double Slots);

  /// Demand for the keys that node \p Index holds, as a share of its slots.
  double demandOf(int Index) const;

  const std::string &violation() const { return this->Violation; }

  /// Number of times that keys were handed over.
  int handoverCount() const { return this->HandoverCount; }

private:
  struct Node;
  struct SimServer;

  /// The keys that node \p Index holds, sorted and without overlap.
  std::vector<KeyRange> heldRanges(int Index) const;
  struct StoredRow {
    std::optional<std::string> Value;
    RowVersion Version = 0;
  };

  void schedule(Duration Delay, std::function<void()> Action);
  Duration randomDuration(int MinMs, int MaxMs);
  bool isFaultActive(KeyFaultKind Kind, int Index) const;
  void step();
  void applyFaults();
  void startDaemon(Node &Member);
  void startServer(Node &Member);
  void report(Node &Member);
  void applyGrants(Node &Member, const ServerReport &Answered, TimePoint SentAt,
                   const KeyGrants &Grants);
  void recordToken(const KeyRange &Keys, FencingToken Token);
  bool applyGrantCall(Node &Member, const GrantedKeys &Grant, TimePoint Until);
  bool applyReleaseCall(Node &Member, const GrantedKeys &Grant);
  void awaitRelease(Node &Member, const ServerIncarnation &Run,
                    const KeyRange &Keys, const std::function<void()> &OnDone);
  void sendCall(Node &Member, const std::function<void()> &Apply,
                const std::function<void()> &OnLost);
  void restoreStore();
  static bool hasOlderCondition(const TableTransaction &Write,
                                std::uint64_t Era);
  StoreCommit execute(const TableTransaction &Write);
  void commit(Node &Member, const TableTransaction &Write,
              const std::function<void(const StoreCommit &)> &OnDone);
  void
  read(Node &Member, const std::string &Table,
       const std::function<void(const std::optional<StoreRows> &)> &OnDone);
  StoreRows rowsOf(const std::string &Table) const;
  void pollStore();
  void checkHolders();
  Duration storeClock() const;
  void recordKeyLoads(Node &Member);
  void deliverToDaemon(Node &Member, std::function<void()> Action);

  GrantKind GrantsAre;
  std::mt19937 Random;
  TimePoint Now;
  TimePoint StartedAt;
  std::multimap<TimePoint, std::function<void()>> Events;
  using RowTable = std::map<std::string, StoredRow>;
  RowTable Rows;

  /// The store's version; it holds the era (see StoreVersion).
  RowVersion LastVersion = StoreVersion{1, 0}.rowVersion();

  /// Copies of the store, one every half second, the newest last.
  std::deque<std::pair<RowTable, RowVersion>> Copies;
  TimePoint NextCopyAt;
  bool RestorationPending = false;
  std::vector<std::unique_ptr<Node>> Nodes;
  std::vector<KeyFault> Faults;
  std::map<KeyNumber, double> KeyLoads;
  std::string Violation;
  std::map<KeyNumber, FencingToken> HighestTokens;
  int HandoverCount = 0;
  std::int64_t LastStart = 1000;
  std::uint64_t LastProcess = 0;
};

} // namespace hemlockspar
