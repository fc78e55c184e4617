#pragma once

#include "daemon/RequestResult.h"
#include "mesh/MeshView.h"
#include "mesh/ServerLoad.h"
#include "mesh/ServerReport.h"
#include "mesh/admission/AdmissionInputs.h"

namespace hemlockspar {

/// Reason for the result of an attempt.
enum class AttemptReason {
  None,
  /// No instance provides the service, or the key has no owner.
  NoInstance,
  /// The instance does not own the key.
  NotOwner,
  /// The key is being handed over, or its grant has not reached the owner yet.
  KeyMoving,
  /// There is no backend server, or it belongs to another service.
  ServerUnavailable,
  /// The backend server or its daemon is shutting down.
  Leaving,
  ServerRefused,
  /// The expected wait for a slot is too long.
  Busy,
  /// The backend server is cold and has received as many requests as it
  /// tolerates.
  Cold,
  /// The instance is not in a region in which the route may be served, or there
  /// is none that is.
  NoHome,
  /// A connection to the instance could not be established.
  Unreachable,
  /// The connection broke after the request was sent.
  Broken,
  /// The response is not the backend server's response to this request.
  WrongAnswer,
  /// The deadline passed.
  TimeOver,
  CallerGone,
};

/// Name of \p Reason for logs and for messages between daemons.
const char *nameOf(AttemptReason Reason);
std::optional<AttemptReason> attemptReasonOf(const std::string &Name);

/// What a daemon needs to know about a request for its local backend server.
struct AttemptContext {
  std::string RequestId;
  std::string Service;
  std::optional<KeyNumber> Key;

  /// Requests of one route have similar run times.
  std::string RouteName;

  /// Lower ranks are served first.
  std::uint32_t Rank = 0;

  /// A response after this time is useless to the caller.
  TimePoint Deadline;

  /// The latency objective: a response by this time is worth most to the
  /// caller.
  TimePoint ObjectiveAt;

  /// The request is refused at once when its expected wait for a slot is
  /// longer.
  Duration MaxWait{};

  /// The service on the machine where the request originated.
  std::string CallerService;

  /// Version of the configuration that is active at the sender.
  std::uint64_t ConfigurationVersion = 0;
};

/// Result of an attempt.
struct AttemptResult {
  RequestOutcome Outcome = RequestOutcome::NotRun;
  AttemptReason Reason = AttemptReason::None;

  /// Whether the request was sent to the backend server.
  bool ReachedServer = false;

  /// For Busy: the expected wait.
  Duration ExpectedWait{};

  /// For Busy, when the decision was made in this process: its inputs.
  std::optional<AdmissionInputs> Admission;

  /// For NotOwner: the owner known to the instance, and the range of keys
  /// around this one that it owns; empty when no owner is known.
  InstanceId Owner;
  KeyRange OwnerKeys;

  /// Version of the key map on which Owner is based.
  RowVersion OwnerMapVersion = 0;

  /// Load of the backend server; empty when unknown.
  std::optional<ServerLoad> Load;

  /// Version of the configuration that is active at the instance.
  std::uint64_t ConfigurationVersion = 0;

  /// For Answered: how long the request occupied a slot.
  Duration RunTime{};

  /// Versions of the instance's view.
  ViewVersions View;

  /// How recently the instance knew all rows of the operators' table.
  FreshnessReport OperatorRows;

  /// Valid when the outcome is Answered.
  HttpResponse Response;
};

/// Makes the result of an attempt that did not run.
AttemptResult notRunResult(AttemptReason Reason, Duration Wait = {});

/// Makes the result of an attempt that may have run.
AttemptResult unknownResult(AttemptReason Reason);

} // namespace hemlockspar
