#pragma once

#include "daemon/RequestResult.h"
#include "mesh/MeshView.h"
#include "mesh/ServerLoad.h"
#include "mesh/ServerReport.h"

namespace hemlockspar {

/// Why a try at a request ended as it did.
enum class TryReason {
  None,
  /// No instance serves the service, or none owns the key.
  NoInstance,
  /// The instance asked does not own the key.
  NotOwner,
  /// The key is being moved, or its grant has not reached the owner yet.
  KeyMoving,
  /// There is no backend server, or it is another service's.
  ServerUnavailable,
  /// The backend server or its daemon is about to stop.
  Leaving,
  /// The backend server refused the request.
  ServerRefused,
  /// It would wait for a slot for too long.
  Busy,
  /// No connection to the instance came about.
  Unreachable,
  /// A connection broke after the request was sent.
  Broken,
  /// What came back is not the backend server's answer to the request.
  WrongAnswer,
  /// The time for the request was over.
  TimeOver,
  CallerGone,
};

/// Name of \p Reason for logs and other daemons.
const char *nameOf(TryReason Reason);
std::optional<TryReason> tryReasonOf(const std::string &Name);

/// What the daemon beside a backend server has to know of a request.
struct TryTerms {
  std::string RequestId;
  std::string Service;
  std::optional<KeyNumber> Key;

  /// Requests of one route take about the same time.
  std::string RouteName;

  /// Lower ranks go first.
  std::uint32_t Rank = 0;

  /// An answer later than this is of no use.
  TimePoint GiveUpAt;

  /// An answer until then is worth most to the caller.
  TimePoint AimAt;

  /// It is refused at once when it would wait longer than this for a slot.
  Duration MaxWait{};

  /// The service of the machine where the request began.
  std::string CallerService;

  /// Version of the configuration in force at the sender.
  std::uint64_t Configuration = 0;
};

/// What a try at a request came to.
struct TryResult {
  RequestOutcome Outcome = RequestOutcome::NotRun;
  TryReason Reason = TryReason::None;

  /// Whether the backend server was sent the request.
  bool Reached = false;

  /// For Busy: how long it would have waited.
  Duration Wait{};

  /// For NotOwner: the owner as the instance that was asked knows it, and all
  /// keys about this one that it owns; empty when it knows none.
  InstanceId Owner;
  KeySpan OwnersKeys;

  /// Version of the map of owners by which it knows.
  RowVersion OwnersVersion = 0;

  /// How busy the backend server is; nothing when that is not known.
  std::optional<ServerLoad> Load;

  /// Version of the configuration in force at the instance that was asked.
  std::uint64_t Configuration = 0;

  /// For Answered: how long it held a slot.
  Duration Run{};

  /// How far the view of the instance that was asked goes.
  ViewVersions View;

  /// Set when the outcome is Answered.
  HttpResponse Response;
};

/// A try that did not run.
TryResult tryNotRun(TryReason Reason, Duration Wait = {});

/// A try that may have run.
TryResult tryUnknown(TryReason Reason);

} // namespace hemlockspar
