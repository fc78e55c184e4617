#pragma once

#include "daemon/Answers.h"
#include "mesh/MeshView.h"
#include "mesh/ServerLoad.h"
#include "mesh/ServerReport.h"

namespace hemlockspar {

/// Why a try at a request ended as it did.
enum class AttemptReason {
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
const char *nameOf(AttemptReason Reason);
std::optional<AttemptReason> attemptReasonOf(const std::string &Name);

/// What the daemon beside a backend server has to know of a request.
struct AttemptContext {
  std::string RequestId;
  std::string Service;
  std::optional<KeyNumber> Key;

  /// Requests of one route take about the same time.
  std::string RouteName;

  /// Lower ranks go first.
  std::uint32_t Rank = 0;

  /// An answer later than this is of no use.
  TimePoint Deadline;

  /// An answer until then is worth most to the caller.
  TimePoint ObjectiveAt;

  /// It is refused at once when it would wait longer than this for a slot.
  Duration MaxWait{};

  /// The service of the machine where the request began.
  std::string CallerService;

  /// Version of the configuration in force at the sender.
  std::uint64_t ConfigurationVersion = 0;
};

/// What a try at a request came to.
struct AttemptResult {
  RequestOutcome Outcome = RequestOutcome::NotRun;
  AttemptReason Reason = AttemptReason::None;

  /// Whether the backend server was sent the request.
  bool ReachedServer = false;

  /// For Busy: how long it would have waited.
  Duration ExpectedWait{};

  /// For NotOwner: the owner as the instance that was asked knows it, and all
  /// keys about this one that it owns; empty when it knows none.
  InstanceId Owner;
  KeyRange OwnerKeys;

  /// Version of the map of owners by which it knows.
  RowVersion OwnerMapVersion = 0;

  /// How busy the backend server is; nothing when that is not known.
  std::optional<ServerLoad> Load;

  /// Version of the configuration in force at the instance that was asked.
  std::uint64_t ConfigurationVersion = 0;

  /// For Answered: how long it held a slot.
  Duration RunTime{};

  /// How far the view of the instance that was asked goes.
  ViewMarks View;

  /// Set when the outcome is Answered.
  HttpResponse Response;
};

/// A try that did not run.
AttemptResult notRunResult(AttemptReason Reason, Duration Wait = {});

/// A try that may have run.
AttemptResult unknownResult(AttemptReason Reason);

} // namespace hemlockspar
