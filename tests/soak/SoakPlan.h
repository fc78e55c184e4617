#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace hemlockspar {

/// What is done to a running mesh from outside.
enum class SoakFault {
  /// A daemon is killed and started again when the fault ends.
  DaemonKilled,
  /// A daemon stands still.
  DaemonPaused,
  /// A daemon is asked to stop, and started again when it has.
  DaemonStopped,
  /// A daemon is told that its settings changed.
  DaemonReloaded,
  /// What a daemon sends to another, or to the store, comes late.
  LinkDelayed,
  /// Connections of a daemon to another, or to the store, are reset.
  LinkReset,
  /// What a daemon sends is swallowed; what is sent to it arrives.
  LinkCutOneWay,
  /// Nothing passes; connections stay open.
  LinkSilent,
  /// The store refuses a daemon, or all.
  StoreRefuses,
  /// The store does not answer a daemon, or any.
  StoreSilent,
  /// The store does what is written and does not say so.
  StoreLosesAnswers,
  /// The store forgets what changed.
  StoreForgets,
  /// A backend server loses its answers.
  ServerLosesAnswers,
  /// A backend server refuses all requests.
  ServerRefuses,
  /// A backend server answers with the ids of other requests.
  ServerWrongIds,
  /// A backend server sends no reports.
  ServerMute,
  /// A backend server starts anew.
  ServerRestarts,
  /// The operator declares a newer configuration.
  ConfigurationChanges,
};

inline constexpr int SoakFaultCount = 18;

/// Name of \p Fault in reports.
const char *nameOf(SoakFault Fault);

struct SoakEvent {
  SoakFault Fault = SoakFault::DaemonKilled;

  /// The daemon, or backend server, that it strikes.
  int Who = 0;

  /// The other end of a link; -1 for the store. For faults of the store: -1
  /// for all daemons.
  int Other = 0;
  std::chrono::milliseconds At{};
  std::chrono::milliseconds Lasting{};

  std::string toText() const;
};

/// The faults of one run: in series and overlapping, several on one daemon
/// too. The same \p Seed makes the same plan. Free of I/O.
std::vector<SoakEvent> makeSoakPlan(std::uint32_t Seed, int Daemons,
                                    std::chrono::milliseconds Length);

} // namespace hemlockspar
