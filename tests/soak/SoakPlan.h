#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace hemlockspar {

/// Faults injected into a running mesh from outside its daemons.
enum class SoakFault {
  /// A daemon is killed (SIGKILL) and restarted when the fault ends.
  DaemonKilled,
  /// A daemon is suspended (SIGSTOP) until the fault ends.
  DaemonPaused,
  /// A daemon is asked to stop (SIGTERM). It is restarted when the fault ends
  /// and the process has exited.
  DaemonStopped,
  /// A daemon is told to reload its settings (SIGHUP).
  DaemonReloaded,
  /// Data on connections that a daemon opens to another, or to the store, is
  /// delayed.
  LinkDelayed,
  /// Connections that a daemon opens to another, or to the store, are reset.
  LinkReset,
  /// Data that a daemon sends on a link is dropped; the opposite direction
  /// works.
  LinkCutOneWay,
  /// Data is dropped in both directions; connections stay open.
  LinkSilent,
  /// The store refuses requests of one daemon, or of all.
  StoreRefuses,
  /// The store does not answer one daemon, or none of them.
  StoreSilent,
  /// The store executes writes, but its responses are lost.
  StoreLosesAnswers,
  /// The store drops its change history.
  StoreForgets,
  /// The store comes back from a copy taken when the fault began; the operator
  /// publishes the newest configuration again.
  StoreRestored,
  /// A backend server executes requests, but closes the connection without a
  /// valid answer.
  ServerLosesAnswers,
  /// A backend server refuses all requests.
  ServerRefuses,
  /// A backend server answers with wrong request ids.
  ServerWrongIds,
  /// A backend server sends no reports.
  ServerMute,
  /// A backend server restarts.
  ServerRestarts,
  /// The operator publishes a newer configuration.
  ConfigurationChanges,
};

inline constexpr int SoakFaultCount = 19;

/// Name of \p Fault in reports.
const char *nameOf(SoakFault Fault);

struct SoakEvent {
  SoakFault Fault = SoakFault::DaemonKilled;

  /// Index of the affected daemon or backend server.
  int Target = 0;

  /// Link faults: the daemon at the other end of the link, or -1 for the store.
  /// Store faults: -1 if all daemons are affected, otherwise only Target is.
  int Peer = 0;

  /// Time from the start of the run to the start of the fault.
  std::chrono::milliseconds StartOffset{};
  std::chrono::milliseconds FaultDuration{};

  std::string toText() const;
};

/// Makes the random schedule of faults for one run. Faults may overlap, also on
/// the same daemon. The same \p Seed gives the same plan. Performs no I/O.
std::vector<SoakEvent> makeSoakPlan(std::uint32_t Seed, int Daemons,
                                    std::chrono::milliseconds Length);

} // namespace hemlockspar
