#include "coordination/QueueDiscipline.h"

#include "core/EnumNames.h"

#include <algorithm>
#include <cmath>

namespace hemlockspar {

namespace {

constexpr std::array<const char *, 2> QueueOrderNames = {"fifo", "classed"};

/// Time over which the demand of short requests is smoothed.
constexpr double DemandWindowSeconds = 1.0;

/// Slots kept for short requests beyond those that they keep busy, times the
/// square root of the latter: arrivals at random moments vary by that much.
constexpr double ShortHeadroom = 0.25;

/// Long requests may always use this part of the slots.
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

// CallerRounds

void CallerRounds::push(const QueuedRequest &Request) {
  auto Place = std::find_if(
      this->Lines.begin(), this->Lines.end(),
      [&](const Line &Known) { return Known.Caller == Request.Caller; });

  if (Place == this->Lines.end()) {
    Place = this->Lines.insert(this->Lines.end(), Line{Request.Caller, {}});
  }

  Place->Waiting.push_back(Request);
  ++this->Count;
}

std::optional<QueuedRequest> CallerRounds::pop() {
  if (this->Lines.empty()) {
    return std::nullopt;
  }

  Line &First = this->Lines.front();
  QueuedRequest Next = std::move(First.Waiting.front());
  First.Waiting.pop_front();
  --this->Count;

  if (First.Waiting.empty()) {
    this->Lines.pop_front();
  } else {
    this->Lines.splice(this->Lines.end(), this->Lines, this->Lines.begin());
  }

  return Next;
}

bool CallerRounds::remove(RequestNumber Number) {
  std::vector<QueuedRequest> Removed;
  this->removeIf(
      [&](const QueuedRequest &Request) { return Request.Number == Number; },
      Removed);
  return !Removed.empty();
}

void CallerRounds::removeIf(
    const std::function<bool(const QueuedRequest &)> &Condition,
    std::vector<QueuedRequest> &Removed) {
  std::size_t Before = Removed.size();

  for (Line &Known : this->Lines) {
    std::erase_if(Known.Waiting, [&](const QueuedRequest &Request) {
      bool Matches = Condition(Request);
      if (Matches) {
        Removed.push_back(Request);
      }
      return Matches;
    });
  }

  this->Lines.remove_if(
      [](const Line &Known) { return Known.Waiting.empty(); });
  this->Count -= Removed.size() - Before;
}

// ClassedDiscipline

ClassedDiscipline::ClassedDiscipline(const ServiceTimes &Learned)
    : Learned(Learned) {}

void ClassedDiscipline::push(const QueuedRequest &Request) {
  if (this->Learned.isLong(Request.Class)) {
    this->Long.push(Request);
    return;
  }

  this->noteArrival(Request);
  this->Short.push(Request);
}

void ClassedDiscipline::noteArrival(const QueuedRequest &Request) {
  if (this->LastShortArrival) {
    double Elapsed = std::chrono::duration<double>(Request.ArrivedAt -
                                                   *this->LastShortArrival)
                         .count();
    this->ShortDemand *= std::exp(-Elapsed / DemandWindowSeconds);
  }

  double Service =
      std::chrono::duration<double>(this->Learned.expected(Request.Class))
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
    return Request.Deadline - Now < this->Learned.expected(Request.Class);
  };

  std::vector<QueuedRequest> Late;
  this->Short.removeIf(IsLate, Late);
  this->Long.removeIf(IsLate, Late);
  return Late;
}

void ClassedDiscipline::onFinished(const QueuedRequest &Request) {
  auto Place = this->RunningIsLong.find(Request.Number);
  if (Place == this->RunningIsLong.end()) {
    return;
  }

  this->RunningLong -= Place->second;
  this->RunningIsLong.erase(Place);
}

std::size_t ClassedDiscipline::size() const {
  return this->Short.size() + this->Long.size();
}

// UrgencyDiscipline

UrgencyDiscipline::UrgencyDiscipline(const ServiceTimes &Learned)
    : Learned(Learned) {}

void UrgencyDiscipline::push(const QueuedRequest &Request) {
  this->Waiting[{Request.Rank, Request.ArrivedAt, Request.Number}] = Request;
}

std::optional<QueuedRequest> UrgencyDiscipline::pop(std::uint32_t, TimePoint) {
  if (this->Waiting.empty()) {
    return std::nullopt;
  }
  return std::move(this->Waiting.extract(this->Waiting.begin()).mapped());
}

bool UrgencyDiscipline::remove(RequestNumber Number) {
  return std::erase_if(this->Waiting, [&](const auto &Entry) {
           return Entry.second.Number == Number;
         }) > 0;
}

std::vector<QueuedRequest> UrgencyDiscipline::removeLate(TimePoint Now) {
  std::vector<QueuedRequest> Late;
  std::erase_if(this->Waiting, [&](const auto &Entry) {
    const QueuedRequest &Request = Entry.second;
    bool IsLate =
        Now + this->Learned.expected(Request.Class) / 2 >= Request.Deadline;
    if (IsLate) {
      Late.push_back(Request);
    }
    return IsLate;
  });
  return Late;
}

void UrgencyDiscipline::onFinished(const QueuedRequest &) {}

std::size_t UrgencyDiscipline::aheadOf(std::uint32_t Rank) const {
  std::size_t Count = 0;
  for (const auto &[At, Request] : this->Waiting) {
    Count += Request.Rank <= Rank ? 1 : 0;
  }
  return Count;
}

std::unique_ptr<QueueDiscipline> makeDiscipline(QueueOrder Order,
                                                const ServiceTimes &Learned) {
  switch (Order) {
  case QueueOrder::Fifo:
    return std::make_unique<FifoDiscipline>();
  case QueueOrder::Classed:
    return std::make_unique<ClassedDiscipline>(Learned);
  }
  return std::make_unique<FifoDiscipline>();
}

} // namespace hemlockspar
