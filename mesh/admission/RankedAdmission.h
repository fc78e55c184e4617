#pragma once

#include "coordination/AdmissionQueue.h"
#include "mesh/Attempt.h"
#include "mesh/WaitPolicy.h"
#include "mesh/admission/AdmissionInputs.h"
#include "mesh/admission/KindShares.h"

namespace hemlockspar {

/// Admission to the queue of a service whose routes have different priorities:
/// keeps what the decisions are based on, and gives the queue its discipline.
/// Inactive, with the queue's ordinary discipline, while the configuration
/// declares no different priorities. Handles sustained overload with mixed
/// urgent and less urgent, long and short work. Performs no I/O.
class RankedAdmission {
public:
  RankedAdmission(AdmissionQueue &Queue, const ServiceTimeEstimator &RouteTimes,
                  const StandingQueue &Standing)
      : Queue(Queue), RouteTimes(RouteTimes), Standing(Standing) {}

  /// Applies \p Active to the queue of \p Service; cheap when nothing changed.
  void configure(const ConfigurationPtr &Active, const std::string &Service,
                 TimePoint Now);

  bool isActive() const { return this->Active; }

  /// A request has arrived, whether or not it will be admitted.
  void onArrival(const AttemptContext &Context, TimePoint Now);

  /// A run of \p RouteName occupied a slot for \p Elapsed.
  void recordRun(const std::string &RouteName, Duration Elapsed);

  /// The inputs of the decision on a request. \p MeanRun is the mean run time
  /// at the server, by which slots become free, and \p Pace the present
  /// slowness of its machine.
  AdmissionInputs inputsOf(const AttemptContext &Context, Duration MeanRun,
                           double Pace, TimePoint Now) const;

  /// When a response must be there to be in time: at the objective, or at the
  /// deadline for a route whose runs do not fit into its objective.
  TimePoint dueAt(const AttemptContext &Context) const;

private:
  Duration objectiveOf(const std::string &RouteName) const;

  AdmissionQueue &Queue;
  const ServiceTimeEstimator &RouteTimes;
  const StandingQueue &Standing;
  RunTimes Times;
  KindShares Shares;
  bool Active = false;
  ConfigurationPtr Applied;
  std::string AppliedService;
};

} // namespace hemlockspar
