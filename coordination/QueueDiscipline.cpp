#include "coordination/QueueDiscipline.h"

#include "core/EnumNames.h"

#include <algorithm>
#include <cmath>

namespace hemlockspar {

namespace {

constexpr std::array<const char *, 2> QueueOrderNames = {"fifo", "classed"};

/// Time constant of the smoothing of short requests' demand.
constexpr double DemandWindowSeconds = 1.0;

/// Capacity reserved for short requests beyond their mean demand, as a multiple
/// of the demand's square root: the standard deviation of random (Poisson)
/// arrivals.
constexpr double ShortHeadroom = 0.25;

/// Long requests may always use the capacity divided by this.
constexpr std::uint32_t LongMinimumDivisor = 4;

} // namespace

const char *nameOf(QueueOrder Order) {
  return enumName(QueueOrderNames, Order);
}

std::optional<QueueOrder> queueOrderOf(const std::string &Name) {
  return enumFromName<QueueOrder>(QueueOrderNames, Name);
}

// FifoDiscipline

void FifoDiscipline::push(const QueuedRequest &Request) {
  this->Waiting.push_back(Request);
}

std::optional<QueuedRequest> FifoDiscipline::pop(std::uint32_t, TimePoint) {
  if (this->Waiting.empty()) {
    return std::nullopt;
  }

  QueuedRequest Next = std::move(this->Waiting.front());
  this->Waiting.pop_front();
  return Next;
}

bool FifoDiscipline::remove(RequestNumber Number) {
  return std::erase_if(this->Waiting, [&](const QueuedRequest &Request) {
           return Request.Number == Number;
         }) > 0;
}

std::vector<QueuedRequest> FifoDiscipline::removeLate(TimePoint Now) {
  std::vector<QueuedRequest> Late;
  std::erase_if(this->Waiting, [&](const QueuedRequest &Request) {
    bool IsLate = Now >= Request.Deadline;
    if (IsLate) {
      Late.push_back(Request);
    }
    return IsLate;
  });
  return Late;
}

void FifoDiscipline::onFinished(const QueuedRequest &) {}

// CallerRoundRobin

void CallerRoundRobin::push(const QueuedRequest &Request) {
  auto It = std::find_if(
      this->CallerQueues.begin(), this->CallerQueues.end(),
      [&](const CallerQueue &Queue) { return Queue.Caller == Request.Caller; });

  if (It == this->CallerQueues.end()) {
    It = this->CallerQueues.insert(this->CallerQueues.end(),
                                   CallerQueue{Request.Caller, {}});
  }

  It->Waiting.push_back(Request);
  ++this->Count;
}

std::optional<QueuedRequest> CallerRoundRobin::pop() {
  if (this->CallerQueues.empty()) {
    return std::nullopt;
  }

  CallerQueue &First = this->CallerQueues.front();
  QueuedRequest Next = std::move(First.Waiting.front());
  First.Waiting.pop_front();
  --this->Count;

  if (First.Waiting.empty()) {
    this->CallerQueues.pop_front();
  } else {
    this->CallerQueues.splice(this->CallerQueues.end(), this->CallerQueues,
                              this->CallerQueues.begin());
  }

  return Next;
}

bool CallerRoundRobin::remove(RequestNumber Number) {
  std::vector<QueuedRequest> Removed;
  this->removeIf(
      [&](const QueuedRequest &Request) { return Request.Number == Number; },
      Removed);
  return !Removed.empty();
}

void CallerRoundRobin::removeIf(
    const std::function<bool(const QueuedRequest &)> &Condition,
    std::vector<QueuedRequest> &Removed) {
  std::size_t Before = Removed.size();

  for (CallerQueue &Queue : this->CallerQueues) {
    std::erase_if(Queue.Waiting, [&](const QueuedRequest &Request) {
      bool Matches = Condition(Request);
      if (Matches) {
        Removed.push_back(Request);
      }
      return Matches;
    });
  }

  this->CallerQueues.remove_if(
      [](const CallerQueue &Queue) { return Queue.Waiting.empty(); });
  this->Count -= Removed.size() - Before;
}

// ClassedDiscipline

ClassedDiscipline::ClassedDiscipline(const ServiceTimeEstimator &ServiceTimes)
    : ServiceTimes(ServiceTimes) {}

void ClassedDiscipline::push(const QueuedRequest &Request) {
  if (this->ServiceTimes.isLong(Request.Class)) {
    this->Long.push(Request);
    return;
  }

  this->recordShortArrival(Request);
  this->Short.push(Request);
}

void ClassedDiscipline::recordShortArrival(const QueuedRequest &Request) {
  if (this->LastShortArrival) {
    double Elapsed = std::chrono::duration<double>(Request.ArrivedAt -
                                                   *this->LastShortArrival)
                         .count();
    this->ShortDemand *= std::exp(-Elapsed / DemandWindowSeconds);
  }

  double Service =
      std::chrono::duration<double>(this->ServiceTimes.expected(Request.Class))
          .count();
  this->ShortDemand += Service / DemandWindowSeconds;
  this->LastShortArrival = Request.ArrivedAt;
}

std::uint32_t ClassedDiscipline::longLimit(std::uint32_t Limit) const {
  double Kept =
      this->ShortDemand + ShortHeadroom * std::sqrt(this->ShortDemand);
  auto Reserved = static_cast<std::uint32_t>(std::lround(Kept));
  Reserved = std::max<std::uint32_t>(Reserved, 1);

  std::uint32_t Minimum =
      std::max<std::uint32_t>(Limit / LongMinimumDivisor, 1);
  std::uint32_t Left = Limit > Reserved ? Limit - Reserved : 0;
  return std::max(Left, Minimum);
}

std::optional<QueuedRequest> ClassedDiscipline::pop(std::uint32_t Limit,
                                                    TimePoint) {
  std::uint32_t Minimum =
      std::max<std::uint32_t>(Limit / LongMinimumDivisor, 1);
  bool LongStarves = !this->Long.empty() && this->RunningLong < Minimum;
  bool LongMayRun =
      !this->Long.empty() && this->RunningLong < this->longLimit(Limit);

  bool TakeLong = LongStarves || (this->Short.empty() && LongMayRun);
  std::optional<QueuedRequest> Next =
      TakeLong ? this->Long.pop() : this->Short.pop();

  if (Next) {
    this->RunningIsLong[Next->Number] = TakeLong;
    this->RunningLong += TakeLong;
  }
  return Next;
}

bool ClassedDiscipline::remove(RequestNumber Number) {
  return this->Short.remove(Number) || this->Long.remove(Number);
}

std::vector<QueuedRequest> ClassedDiscipline::removeLate(TimePoint Now) {
  auto IsLate = [&](const QueuedRequest &Request) {
    return Request.Deadline - Now < this->ServiceTimes.expected(Request.Class);
  };

  std::vector<QueuedRequest> Late;
  this->Short.removeIf(IsLate, Late);
  this->Long.removeIf(IsLate, Late);
  return Late;
}

void ClassedDiscipline::onFinished(const QueuedRequest &Request) {
  auto It = this->RunningIsLong.find(Request.Number);
  if (It == this->RunningIsLong.end()) {
    return;
  }

  this->RunningLong -= It->second;
  this->RunningIsLong.erase(It);
}

std::size_t ClassedDiscipline::size() const {
  return this->Short.size() + this->Long.size();
}

// PriorityDiscipline

PriorityDiscipline::PriorityDiscipline(const ServiceTimeEstimator &ServiceTimes)
    : ServiceTimes(ServiceTimes) {}

void PriorityDiscipline::push(const QueuedRequest &Request) {
  TimePoint LatestStart =
      Request.Deadline == TimePoint::max()
          ? Request.Deadline
          : Request.Deadline - this->ServiceTimes.expected(Request.Class) / 2;
  Entry Added = {{Request.Rank, Request.ArrivedAt, Request.Number},
                 {LatestStart, Request.Number}};
  this->Waiting[Added.Key] = Request;
  this->Expiring.insert(Added.Expiry);
  this->Entries[Request.Number] = Added;
  ++this->CountByRank[Request.Rank];
}

QueuedRequest
PriorityDiscipline::extract(std::map<OrderKey, QueuedRequest>::iterator At) {
  QueuedRequest Removed = std::move(At->second);
  this->Waiting.erase(At);
  auto Found = this->Entries.find(Removed.Number);
  this->Expiring.erase(Found->second.Expiry);
  this->Entries.erase(Found);

  auto Count = this->CountByRank.find(Removed.Rank);
  if (--Count->second == 0) {
    this->CountByRank.erase(Count);
  }
  return Removed;
}

std::optional<QueuedRequest> PriorityDiscipline::pop(std::uint32_t, TimePoint) {
  if (this->Waiting.empty()) {
    return std::nullopt;
  }
  return this->extract(this->Waiting.begin());
}

bool PriorityDiscipline::remove(RequestNumber Number) {
  auto Found = this->Entries.find(Number);
  if (Found == this->Entries.end()) {
    return false;
  }
  this->extract(this->Waiting.find(Found->second.Key));
  return true;
}

std::vector<QueuedRequest> PriorityDiscipline::removeLate(TimePoint Now) {
  std::vector<QueuedRequest> Late;
  while (!this->Expiring.empty() && this->Expiring.begin()->first <= Now) {
    OrderKey Key = this->Entries.at(this->Expiring.begin()->second).Key;
    Late.push_back(this->extract(this->Waiting.find(Key)));
  }
  return Late;
}

void PriorityDiscipline::onFinished(const QueuedRequest &) {}

std::size_t PriorityDiscipline::countAhead(std::uint32_t Rank) const {
  std::size_t Count = 0;
  for (const auto &[Other, Waiting] : this->CountByRank) {
    Count += Other <= Rank ? Waiting : 0;
  }
  return Count;
}

std::unique_ptr<QueueDiscipline>
makeDiscipline(QueueOrder Order, const ServiceTimeEstimator &ServiceTimes) {
  switch (Order) {
  case QueueOrder::Fifo:
    return std::make_unique<FifoDiscipline>();
  case QueueOrder::Classed:
    return std::make_unique<ClassedDiscipline>(ServiceTimes);
  }
  return std::make_unique<FifoDiscipline>();
}

} // namespace hemlockspar
