#pragma once

#include "tests/soak/SoakCallers.h"
#include "tests/soak/SoakPlan.h"

namespace hemlockspar {

/// One run of the soak test: daemons as separate processes, callers with
/// keep-alive connections, backend servers, a store, and proxies between them,
/// with faults injected according to a plan. Checks these guarantees, as
/// callers and backend servers observe them:
///  - a key has at most one holder at a time, with increasing fencing tokens;
///  - an at-most-once request never runs twice, and does not run if the caller
///    was told that it was refused;
///  - an answer belongs to its request, and a request that succeeded has run;
///  - a daemon without faults answers each request that has run, and answers
///    before the deadline;
///  - after the last fault everything is served again.
class SoakRun {
public:
  struct Options {
    std::uint32_t Seed = 1;
    int Daemons = 6;
    std::chrono::milliseconds Length{10000};

    /// The processes listen on the addresses 127.LoopbackNetwork.*.
    int LoopbackNetwork = 90;

    /// Makes the backend servers record each request as executed twice, to
    /// check that the run reports violations.
    bool RunTwice = false;
  };

  explicit SoakRun(const Options &RunOptions);

  /// Returns false if a guarantee was violated or the mesh did not start.
  bool run();

  /// Descriptions of the violations, one per line.
  const std::vector<std::string> &violations() const {
    return this->Violations;
  }

  /// One line with the counts of faults, requests and violations.
  std::string summary() const;

private:
  /// Period in which a daemon, or one of its links, was affected by a fault.
  struct Disturbance {
    int Daemon = 0;
    TimePoint From;
    TimePoint To;

    /// The daemon was told to stop, so requests that it has read must still be
    /// answered.
    bool GracefulStop = false;
  };

  void runPlan();
  void beginFault(const SoakEvent &Event);
  void endFault(const SoakEvent &Event);
  void recordDisturbance(int Daemon, Duration Length,
                         bool GracefulStop = false);
  void declareNewest();
  void restartDaemon(int Daemon);
  void setStoreFaults();
  void setServerFaults(int Server);
  LinkFaults linkFaults(SoakFault Kind) const;
  void awaitRecovery();

  /// Returns the first thing that is not served yet after the faults; empty if
  /// everything is.
  std::string findUnserved();
  void checkCalls(const std::vector<SoakCall> &Calls);
  void checkCall(const SoakCall &Call, int Runs);
  bool wasDisturbed(const SoakCall &Call) const;
  void reportViolation(std::string Description);

  Options RunOptions;
  OwnershipChecker Checker;
  PlatformMesh Mesh;
  std::vector<SoakEvent> Plan;
  std::vector<SoakEvent> Active;
  std::vector<Disturbance> Disturbances;
  std::vector<std::string> Violations;
  std::set<int> DownDaemons;
  std::uint64_t ConfigurationVersion = 1;
  int RestartCount = 0;
  std::size_t RequestCount = 0;
  std::size_t AnsweredCount = 0;

  /// Requests on connections that were closed before the request was read.
  std::size_t UnreadCount = 0;
};

} // namespace hemlockspar
