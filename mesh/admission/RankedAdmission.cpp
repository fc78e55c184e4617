#include "mesh/admission/RankedAdmission.h"

#include "core/Log.h"
#include "mesh/admission/ServiceRanks.h"
#include "mesh/admission/UrgencyDiscipline.h"
#include "mesh/admission/WaitBound.h"

#include <algorithm>
#include <limits>

namespace hemlockspar {

void RankedAdmission::configure(const ConfigurationPtr &Active,
                                const std::string &Service, TimePoint Now) {
  if (Active == this->Applied && Service == this->AppliedService) {
    return;
  }
  this->Applied = Active;
  this->AppliedService = Service;
  bool Differ = Active && ranksOf(*Active, Service).differ();
  if (Differ == this->Active) {
    return;
  }

  this->Active = Differ;
  std::unique_ptr<QueueDiscipline> Discipline;
  if (Differ) {
    Discipline = std::make_unique<UrgencyDiscipline>(
        this->Times, this->Standing, this->Shares,
        std::make_unique<EarliestDueOrder>());
  } else {
    Discipline = std::make_unique<PriorityDiscipline>(this->RouteTimes);
  }
  this->Queue.setDiscipline(std::move(Discipline), Now);
  LogLine(LogLevel::Info, "admission", "order_changed")
      .with("service", Service)
      .with("configuration",
            Active ? static_cast<long long>(Active->Version) : 0LL)
      .with("ranked", Differ ? 1 : 0)
      .with("waiting", static_cast<long long>(this->Queue.waiting()));
}

void RankedAdmission::onArrival(const AttemptContext &Context, TimePoint Now) {
  this->Shares.onArrival({Context.Rank, Context.RouteName}, Now);
}

void RankedAdmission::recordRun(const std::string &RouteName,
                                Duration Elapsed) {
  this->Times.record(RouteName, Elapsed);
}

AdmissionInputs RankedAdmission::inputsOf(const AttemptContext &Context,
                                          Duration MeanRun, double Pace,
                                          TimePoint Now) const {
  AdmissionInputs Inputs;
  Inputs.Run = this->Times.of(Context.RouteName);
  Inputs.Standing = this->Standing.stands(Context.Rank, Now);
  Inputs.Owed = this->Shares.isOwed({Context.Rank, Context.RouteName}, 1, Now);
  Inputs.Running = static_cast<std::uint32_t>(this->Queue.running());
  Inputs.Waiting = static_cast<std::uint32_t>(this->Queue.waiting());
  Inputs.MaxWait = maxRankedWait(
      {Context.MaxWait, Context.ObjectiveAt - Now, Context.Deadline - Now,
       this->objectiveOf(Context.RouteName), Inputs.Run, Inputs.Standing});

  bool SlotFree = Inputs.Running < this->Queue.limit() && Inputs.Waiting == 0;
  if (!SlotFree) {
    QueuedRequest Request;
    Request.Number = std::numeric_limits<RequestNumber>::max();
    Request.Class = Context.RouteName;
    Request.Rank = Context.Rank;
    Request.DueAt = this->dueAt(Context);
    Duration Work =
        this->Queue.workAhead(Request, Now).value_or(Duration::zero());
    Inputs.ExpectedWait = std::chrono::duration_cast<Duration>(
        (Work + MeanRun) * Pace / this->Queue.limit());
  }
  return Inputs;
}

TimePoint RankedAdmission::dueAt(const AttemptContext &Context) const {
  if (!this->Active) {
    return Context.Deadline;
  }
  bool Fits = fitsObjective(this->objectiveOf(Context.RouteName),
                            this->Times.of(Context.RouteName));
  return Fits ? std::min(Context.ObjectiveAt, Context.Deadline)
              : Context.Deadline;
}

Duration RankedAdmission::objectiveOf(const std::string &RouteName) const {
  const Route *Declared =
      this->Applied ? this->Applied->findRouteByName(RouteName) : nullptr;
  return Declared ? Declared->Objective : Duration::max();
}

} // namespace hemlockspar
