#include "coordination/AdmissionQueue.h"

#include "core/EnumNames.h"
#include "core/ErrorMacros.h"

#include <algorithm>

namespace hemlockspar {

namespace {

constexpr std::array<const char *, 2> VerdictNames = {"dispatch", "shed"};

/// A service time this many times above its class's mean is a sign that the
/// backend server runs more at once than it can.
constexpr double SlowFactor = 3.0;

constexpr double LimitRaise = 0.05;
constexpr double LimitCut = 0.9;

/// The limit is lowered at most once in this time, since requests in flight
/// answer the old limit.
constexpr auto LowerInterval = std::chrono::milliseconds(200);

} // namespace

const char *nameOf(AdmissionVerdict Verdict) {
  return enumName(VerdictNames, Verdict);
}

AdmissionQueue::AdmissionQueue(AdmissionLimits Limits, ServiceTimes &Learned,
                               std::unique_ptr<QueueDiscipline> Discipline)
    : Limits(Limits), Learned(Learned), Discipline(std::move(Discipline)),
      Limit(Limits.Capacity) {}

void AdmissionQueue::offer(const QueuedRequest &Request, TimePoint) {
  std::size_t Most =
      std::size_t(this->Limits.Capacity) * this->Limits.QueuePerCapacity;

  if (this->Discipline->size() >= Most) {
    this->Refused.push_back(Request.Number);
    return;
  }

  this->Discipline->push(Request);
}

std::vector<AdmissionDecision> AdmissionQueue::poll(TimePoint Now) {
  std::vector<AdmissionDecision> Decisions;

  for (RequestNumber Number : this->Refused) {
    Decisions.push_back({Number, AdmissionVerdict::Shed});
  }
  this->Refused.clear();

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

  return Decisions;
}

void AdmissionQueue::onFinished(RequestNumber Request, Duration ServiceTime,
                                bool Overloaded, TimePoint Now) {
  auto Place = this->Running.find(Request);
  HS_FAIL_COND(Place == this->Running.end());

  QueuedRequest Ended = std::move(Place->second);
  this->Running.erase(Place);

  this->Discipline->onFinished(Ended);
  this->adaptLimit(Ended.Class, ServiceTime, Overloaded, Now);

  if (!Overloaded) {
    this->Learned.learn(Ended.Class, ServiceTime);
  }
}

void AdmissionQueue::adaptLimit(const std::string &Class, Duration ServiceTime,
                                bool Overloaded, TimePoint Now) {
  if (!this->Limits.Adaptive) {
    return;
  }

  double Capacity = this->Limits.Capacity;
  auto Slow = std::chrono::duration_cast<Duration>(
      this->Learned.expected(Class) * SlowFactor);
  bool TooSlow = Slow > Duration::zero() && ServiceTime > Slow;

  if (!Overloaded && !TooSlow) {
    this->Limit = std::min(this->Limit + LimitRaise, Capacity);
    return;
  }

  if (Now - this->LoweredAt >= LowerInterval) {
    this->LoweredAt = Now;
    this->Limit = std::max(this->Limit * LimitCut, Capacity / 2);
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

std::uint32_t AdmissionQueue::limit() const {
  return std::max<std::uint32_t>(static_cast<std::uint32_t>(this->Limit), 1);
}

std::size_t AdmissionQueue::mustStartFirst(std::uint32_t Rank) const {
  std::size_t Occupied = this->running() + this->Discipline->aheadOf(Rank) + 1;
  return Occupied > this->limit() ? Occupied - this->limit() : 0;
}

Duration AdmissionQueue::expectedWait() const {
  return this->Learned.typical() *
         static_cast<Duration::rep>(this->waiting() + this->running()) /
         static_cast<Duration::rep>(this->limit());
}

} // namespace hemlockspar
