#pragma once

#include "tests/soak/SoakCallers.h"
#include "tests/soak/SoakPlan.h"

namespace hemlockspar {

/// One run of the soak: daemons as processes of their own, callers that keep
/// their connections, backend servers, a store, proxies between them, and
/// faults from outside by a plan. Looks, from what callers and backend servers
/// see, whether the promises are kept:
///  - a key has one holder, under rising tokens;
///  - what may run once runs once at most, and never after it was refused;
///  - an answer belongs to its request, and a success was run;
///  - a request that was run is not left without an answer, and each is
///    answered in its time, by daemons that nothing was done to;
///  - when the faults are over, everything is served again.
class SoakRun {
public:
  struct Terms {
    std::uint32_t Seed = 1;
    int Daemons = 6;
    std::chrono::milliseconds Length{10000};

    /// Chooses the addresses 127.Number.*.
    int Number = 90;

    /// Breaks a rule on purpose, to show that a breach is seen: a backend
    /// server runs what it was sent a second time.
    bool RunTwice = false;
  };

  explicit SoakRun(const Terms &Chosen);

  /// False when a promise was broken, or the mesh did not start.
  bool run();

  /// What was broken, a line each.
  const std::vector<std::string> &complaints() const {
    return this->Complaints;
  }

  /// What was done and seen, for reports.
  std::string summary() const;

private:
  /// Time in which a daemon, or a link of it, was interfered with.
  struct Disturbance {
    int Daemon = 0;
    TimePoint From;
    TimePoint To;

    /// It was told to stop: requests that it has read are still answered.
    bool Orderly = false;
  };

  void playPlan();
  void begin(const SoakEvent &Event);
  void end(const SoakEvent &Event);
  void disturb(int Daemon, Duration Lasting, bool Orderly = false);
  void restartDaemon(int Daemon);
  void setStoreFaults();
  void setServerFaults(int Server);
  LinkFaults linkFaults(SoakFault Kind) const;
  void awaitRecovery();

  /// What is not served yet after the faults; empty when all is.
  std::string findUnserved();
  void check(const std::vector<SoakCall> &Calls);
  void checkCall(const SoakCall &Call, int Runs);
  bool disturbed(const SoakCall &Call) const;
  void complain(std::string What);

  Terms Chosen;
  OwnershipChecker Ledger;
  PlatformMesh Mesh;
  std::vector<SoakEvent> Plan;
  std::vector<SoakEvent> Active;
  std::vector<Disturbance> Disturbances;
  std::vector<std::string> Complaints;
  std::set<int> Down;
  std::uint64_t Configuration = 1;
  int Restarts = 0;
  std::size_t Requests = 0;
  std::size_t Answered = 0;
  std::size_t Crossed = 0;
};

} // namespace hemlockspar
