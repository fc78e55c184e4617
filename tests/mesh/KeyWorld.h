#pragma once

#include "mesh/KeyKeeper.h"

#include <functional>
#include <memory>
#include <random>

namespace hemlockspar {

/// What goes wrong in a KeyWorld.
enum class KeyFaultKind {
  /// The daemon dies and starts again when the fault ends.
  DaemonKilled,
  /// The backend server dies and starts again, as another run.
  ServerKilled,
  /// Both die at once.
  MachineKilled,
  /// The daemon stands still; what reaches it waits.
  DaemonFrozen,
  /// The backend server's reports reach nobody, though it serves on.
  ReportsCut,
  /// The store refuses this machine's calls.
  StoreRefuses,
  /// The store takes no notice of this machine's calls.
  StoreSilent,
  /// The store serves nobody.
  StoreDown,
  /// What this machine writes is done, and the answer lost.
  AnswersLost,
  /// What this machine writes gets no answer and is done seconds later.
  WritesLate,
  /// The backend server says that it leaves, and stops when the fault ends.
  ServerLeaves,
};

inline constexpr int KeyFaultKindCount = 11;

struct KeyFault {
  KeyFaultKind Kind = KeyFaultKind::DaemonKilled;
  int Who = 0;
  Duration At{};
  Duration Lasting{};
};

/// Instances with their keepers, backend servers that hold keys by the rules
/// of the reports, and a store, in simulated time. Looks after each step
/// whether two backend servers hold a key at once.
class KeyWorld {
public:
  static constexpr int MostMembers = 5;

  KeyWorld(std::uint32_t Seed, int Members);
  ~KeyWorld();

  void inject(const std::vector<KeyFault> &Faults);

  /// Lets \p Span pass. False once a rule is broken; see complaint.
  bool run(Duration Span);

  /// Whether each key is held by a backend server that is up.
  bool allHeld() const;

  /// Keys held by member \p Who.
  std::uint32_t heldBy(int Who) const;

  /// How busy member \p Who is, from 0 to 1.
  void setLoad(int Who, double Load);

  /// Requests for each key of \p Keys would keep \p Slots busy, wherever it is
  /// held. Replaces what setLoad says.
  void setKeyLoad(const KeyRange &Keys, double Slots);

  /// What the keys that member \p Who holds ask for, as a share of its slots.
  double wantedAt(int Who) const;

  const std::string &complaint() const { return this->Complaint; }

  /// Times that keys were given on with their state.
  int handovers() const { return this->Handovers; }

private:
  struct Node;
  struct SimServer;
  struct StoredRow {
    std::optional<std::string> Value;
    RowVersion Version = 0;
  };

  void at(Duration Delay, std::function<void()> Action);
  Duration randomSpan(int LeastMs, int MostMs);
  bool faulty(KeyFaultKind Kind, int Who) const;
  void step();
  void applyFaults();
  void startDaemon(Node &Member);
  void startServer(Node &Member);
  void report(Node &Member);
  void takeAnswer(Node &Member, const ServerIncarnation &Run, TimePoint SentAt,
                  const KeyGrants &Grants);
  StoreCommit execute(const TableTransaction &Write);
  void commit(Node &Member, const TableTransaction &Write,
              const std::function<void(const StoreCommit &)> &OnDone);
  void
  read(Node &Member, const std::string &Table,
       const std::function<void(const std::optional<StoreRows> &)> &OnDone);
  StoreRows rowsOf(const std::string &Table) const;
  void followAll();
  void checkHolders();
  Duration storeClock() const;
  void recordKeyLoads(Node &Member);
  void deliver(Node &Member, std::function<void()> Action);

  std::mt19937 Random;
  TimePoint Now;
  TimePoint Begin;
  std::multimap<TimePoint, std::function<void()>> Events;
  std::map<std::string, StoredRow> Rows;
  RowVersion LastVersion = 0;
  std::vector<std::unique_ptr<Node>> Nodes;
  std::vector<KeyFault> Faults;
  std::map<KeyNumber, double> KeyLoads;
  std::string Complaint;
  std::map<KeyNumber, FencingToken> Highest;
  int Handovers = 0;
  std::int64_t LastStart = 1000;
  std::uint64_t LastProcess = 0;
};

} // namespace hemlockspar
