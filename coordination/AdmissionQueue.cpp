#include "coordination/AdmissionQueue.h"

#include "core/EnumNames.h"
#include "core/ErrorMacros.h"

#include <algorithm>

namespace hemlockspar {

namespace {

constexpr std::array<const char *, 2> VerdictNames = {"dispatch", "shed"};

/// A service time above this multiple of its class's mean indicates that the
/// backend server is overloaded.
constexpr double SlowServiceTimeFactor = 3.0;

constexpr double LimitIncrement = 0.05;
constexpr double LimitDecreaseFactor = 0.9;

/// Minimum time between two decreases of the limit, since requests already in
/// flight still reflect the old limit.
constexpr auto MinDecreaseInterval = std::chrono::milliseconds(200);

} // namespace

const char *nameOf(AdmissionVerdict Verdict) {
  return enumName(VerdictNames, Verdict);
}

AdmissionQueue::AdmissionQueue(AdmissionLimits Limits,
                               ServiceTimeEstimator &ServiceTimes,
                               std::unique_ptr<QueueDiscipline> Discipline)
    : Limits(Limits), ServiceTimes(ServiceTimes),
      Discipline(std::move(Discipline)), Limit(Limits.Capacity) {}

void AdmissionQueue::offer(const QueuedRequest &Request, TimePoint) {
  std::size_t MaxWaiting =
      std::size_t(this->Limits.Capacity) * this->Limits.QueuePerCapacity;

  if (this->Discipline->size() >= MaxWaiting) {
    auto Displaced = this->Discipline->displaceFor(Request);
    this->RejectedOnOffer.push_back(Displaced ? Displaced->Number
                                              : Request.Number);
    if (!Displaced) {
      return;
    }
  }

  this->Discipline->push(Request);
}

std::vector<AdmissionDecision> AdmissionQueue::poll(TimePoint Now) {
  std::vector<AdmissionDecision> Decisions;

  for (RequestNumber Number : this->RejectedOnOffer) {
    Decisions.push_back({Number, AdmissionVerdict::Shed});
  }
  this->RejectedOnOffer.clear();

  for (const QueuedRequest &Late : this->Discipline->removeLate(Now)) {
    Decisions.push_back({Late.Number, AdmissionVerdict::Shed});
  }

  while (this->Running.size() < this->limit()) {
    auto Next = this->Discipline->pop(this->limit(), Now);
    if (!Next) {
      break;
    }
    Decisions.push_back({Next->Number, AdmissionVerdict::Dispatch});
    this->Running[Next->Number] = std::move(*Next);
  }

  for (const QueuedRequest &Excess :
       this->Discipline->removeExcess(this->limit(), Now)) {
    Decisions.push_back({Excess.Number, AdmissionVerdict::Shed});
  }

  return Decisions;
}

void AdmissionQueue::onFinished(RequestNumber Request, Duration ServiceTime,
                                bool Overloaded, TimePoint Now) {
  auto It = this->Running.find(Request);
  HS_FAIL_COND(It == this->Running.end());

  QueuedRequest Ended = std::move(It->second);
  this->Running.erase(It);

  this->Discipline->onFinished(Ended);
  this->adaptLimit(Ended.Class, ServiceTime, Overloaded, Now);

  if (!Overloaded) {
    this->ServiceTimes.addSample(Ended.Class, ServiceTime);
  }
}

void AdmissionQueue::adaptLimit(const std::string &Class, Duration ServiceTime,
                                bool Overloaded, TimePoint Now) {
  if (!this->Limits.Adaptive) {
    return;
  }

  double Capacity = this->Limits.Capacity;
  auto Slow = std::chrono::duration_cast<Duration>(
      this->ServiceTimes.expected(Class) * SlowServiceTimeFactor);
  bool TooSlow = Slow > Duration::zero() && ServiceTime > Slow;

  if (!Overloaded && !TooSlow) {
    this->Limit = std::min(this->Limit + LimitIncrement, Capacity);
    return;
  }

  if (Now - this->LimitLoweredAt >= MinDecreaseInterval) {
    this->LimitLoweredAt = Now;
    this->Limit = std::max(this->Limit * LimitDecreaseFactor, Capacity / 2);
  }
}

bool AdmissionQueue::cancel(RequestNumber Request) {
  return this->Discipline->remove(Request);
}

void AdmissionQueue::setCapacity(std::uint32_t Capacity) {
  if (Capacity != this->Limits.Capacity) {
    this->Limits.Capacity = Capacity;
    this->Limit = Capacity;
  }
}

void AdmissionQueue::setDiscipline(
    std::unique_ptr<QueueDiscipline> NewDiscipline, TimePoint Now) {
  while (auto Moved = this->Discipline->pop(this->limit(), Now)) {
    NewDiscipline->push(*Moved);
  }
  this->Discipline = std::move(NewDiscipline);
}

std::optional<Duration> AdmissionQueue::workAhead(const QueuedRequest &Request,
                                                  TimePoint Now) const {
  return this->Discipline->workAhead(Request, Now);
}

std::uint32_t AdmissionQueue::limit() const {
  return std::max<std::uint32_t>(static_cast<std::uint32_t>(this->Limit), 1);
}

std::size_t AdmissionQueue::countStartsBefore(std::uint32_t Rank) const {
  std::size_t Occupied =
      this->running() + this->Discipline->countAhead(Rank) + 1;
  return Occupied > this->limit() ? Occupied - this->limit() : 0;
}

Duration AdmissionQueue::expectedWait() const {
  return this->ServiceTimes.typical() *
         static_cast<Duration::rep>(this->waiting() + this->running()) /
         static_cast<Duration::rep>(this->limit());
}

} // namespace hemlockspar
