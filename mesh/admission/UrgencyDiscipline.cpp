#include "mesh/admission/UrgencyDiscipline.h"

#include <algorithm>

namespace hemlockspar {

namespace {

/// \p At less \p Span; stays at the maximum, which stands for no limit.
TimePoint before(TimePoint At, Duration Span) {
  return At == TimePoint::max() ? At : At - Span;
}

} // namespace

UrgencyDiscipline::UrgencyDiscipline(const RunTimes &Times,
                                     const StandingQueue &Standing,
                                     KindShares &Shares,
                                     std::unique_ptr<UrgencyOrder> Order)
    : Times(Times), Standing(Standing), Shares(Shares),
      Order(std::move(Order)) {}

UrgencyDiscipline::Entry
UrgencyDiscipline::entryOf(const QueuedRequest &Request) const {
  RunTime Run = this->Times.of(Request.Class);
  Entry Added;
  Added.Request = Request;
  Added.Kind = {Request.Rank, Request.Class};
  Added.Rank = Request.Rank;
  Added.Number = Request.Number;
  Added.Run = Run.Mean;
  Added.Key = this->Order->keyOf(Request, Run);
  Added.StartBy = before(Request.DueAt, Run.Mean);

  // Half of the mean: shorter runs than usual may still succeed.
  Added.LatestStart = before(Request.Deadline, Run.Mean / 2);
  return Added;
}

void UrgencyDiscipline::push(const QueuedRequest &Request) {
  Entry Added = this->entryOf(Request);
  KindTotal &Total = this->Totals[Added.Kind];
  ++Total.Count;
  Total.Work += Added.Run;
  this->Waiting.insert(std::move(Added));
}

template <typename Index>
QueuedRequest UrgencyDiscipline::extract(Index &From,
                                         typename Index::iterator At) {
  QueuedRequest Removed = At->Request;
  auto Total = this->Totals.find(At->Kind);
  Total->second.Work -= At->Run;
  if (--Total->second.Count == 0) {
    this->Totals.erase(Total);
  }
  From.erase(At);
  return Removed;
}

bool UrgencyDiscipline::isOwed(const RequestKind &Kind, TimePoint Now) const {
  bool CallsWait =
      !this->Totals.empty() && this->Totals.begin()->first.Rank == CallRank;
  double Fraction = CallsWait ? KindShares::UrgentFraction : 1;
  return Kind.Rank != CallRank && this->Shares.isOwed(Kind, Fraction, Now);
}

std::optional<QueuedRequest> UrgencyDiscipline::pop(std::uint32_t Limit,
                                                    TimePoint Now) {
  this->Slots = Limit;
  if (this->Waiting.empty()) {
    return std::nullopt;
  }

  auto Owed = std::find_if(
      this->Totals.begin(), this->Totals.end(),
      [&](const auto &Total) { return this->isOwed(Total.first, Now); });
  auto &InOrder = this->Waiting.get<ByOrder>();
  auto &Kinds = this->Waiting.get<ByKind>();
  QueuedRequest Next =
      Owed == this->Totals.end()
          ? this->extract(InOrder, InOrder.begin())
          : this->extract(Kinds,
                          Kinds.lower_bound(std::make_tuple(Owed->first)));
  this->Shares.onStarted({Next.Rank, Next.Class}, Now);
  this->Load.onStarted(Next.Rank, this->Times.of(Next.Class).Mean, Now);
  return Next;
}

bool UrgencyDiscipline::remove(RequestNumber Number) {
  auto &Numbers = this->Waiting.get<ByNumber>();
  auto Found = Numbers.find(Number);
  if (Found == Numbers.end()) {
    return false;
  }
  this->extract(Numbers, Found);
  return true;
}

std::vector<QueuedRequest> UrgencyDiscipline::removeLate(TimePoint Now) {
  std::vector<QueuedRequest> Removed;
  auto &Expiring = this->Waiting.get<ByLatestStart>();
  while (!Expiring.empty() && Expiring.begin()->LatestStart <= Now) {
    Removed.push_back(this->extract(Expiring, Expiring.begin()));
  }

  auto &Due = this->Waiting.get<ByStartBy>();
  while (!Due.empty() && !Due.begin()->Late && Due.begin()->StartBy < Now) {
    auto At = Due.begin();
    bool Shed = At->Rank != CallRank && this->Standing.stands(At->Rank, Now);
    if (Shed) {
      Removed.push_back(this->extract(Due, At));
    } else {
      Due.modify(At, [](Entry &Changed) { Changed.Late = true; });
    }
  }
  return Removed;
}

const UrgencyDiscipline::Entry &
UrgencyDiscipline::lastOf(const RequestKind &Kind) const {
  const auto &Kinds = this->Waiting.get<ByKind>();
  return *std::prev(Kinds.upper_bound(std::make_tuple(Kind)));
}

bool UrgencyDiscipline::startsTooLate(const Entry &Last, std::uint32_t Limit,
                                      TimePoint Now) const {
  bool Standing =
      Last.Rank != CallRank && this->Standing.stands(Last.Rank, Now);
  TimePoint Latest = Standing && !Last.Late ? Last.StartBy : Last.LatestStart;
  return Now + this->workBefore(Last) / Limit > Latest;
}

std::vector<RequestKind> UrgencyDiscipline::kindsToShed() const {
  std::vector<std::pair<RequestKind, Duration>> Kinds;
  for (const auto &[Kind, Total] : this->Totals) {
    Kinds.emplace_back(Kind, Total.meanRun());
  }
  std::sort(Kinds.begin(), Kinds.end(),
            [](const auto &Left, const auto &Right) {
              return std::tie(Left.first.Rank, Left.second) >
                     std::tie(Right.first.Rank, Right.second);
            });

  std::vector<RequestKind> Sorted;
  for (auto &[Kind, MeanRun] : Kinds) {
    Sorted.push_back(std::move(Kind));
  }
  return Sorted;
}

std::vector<QueuedRequest> UrgencyDiscipline::removeExcess(std::uint32_t Limit,
                                                           TimePoint Now) {
  std::vector<QueuedRequest> Removed;
  auto &Numbers = this->Waiting.get<ByNumber>();
  for (const RequestKind &Kind : this->kindsToShed()) {
    while (this->Totals.contains(Kind) && !this->isOwed(Kind, Now) &&
           this->startsTooLate(this->lastOf(Kind), Limit, Now)) {
      Removed.push_back(
          this->extract(Numbers, Numbers.find(this->lastOf(Kind).Number)));
    }
  }
  return Removed;
}

std::optional<QueuedRequest>
UrgencyDiscipline::displaceFor(const QueuedRequest &Request) {
  std::vector<RequestKind> Kinds = this->kindsToShed();
  if (Kinds.empty() || Kinds.front().Rank <= Request.Rank) {
    return std::nullopt;
  }
  auto &Numbers = this->Waiting.get<ByNumber>();
  return this->extract(Numbers,
                       Numbers.find(this->lastOf(Kinds.front()).Number));
}

std::size_t UrgencyDiscipline::countAhead(std::uint32_t Rank) const {
  std::size_t Count = 0;
  for (const auto &[Kind, Total] : this->Totals) {
    Count += Kind.Rank <= Rank ? Total.Count : 0;
  }
  return Count;
}

Duration UrgencyDiscipline::workBefore(const Entry &New) const {
  Duration MoreUrgent{};
  Duration SameRank{};
  std::size_t SameCount = 0;
  for (const auto &[Kind, Total] : this->Totals) {
    MoreUrgent += Kind.Rank < New.Rank ? Total.Work : Duration::zero();
    SameRank += Kind.Rank == New.Rank ? Total.Work : Duration::zero();
    SameCount += Kind.Rank == New.Rank ? Total.Count : 0;
  }
  if (SameCount == 0) {
    return MoreUrgent;
  }

  // Within the rank by number, at the mean run time of those that wait.
  const auto &InOrder = this->Waiting.get<ByOrder>();
  std::size_t First = InOrder.lower_bound_rank(std::make_tuple(New.Rank));
  std::size_t Position = InOrder.lower_bound_rank(
      std::make_tuple(New.Rank, New.Late, New.Key, New.Number));
  return MoreUrgent + SameRank / static_cast<int>(SameCount) *
                          static_cast<int>(Position - First);
}

std::optional<Duration>
UrgencyDiscipline::workAhead(const QueuedRequest &Request,
                             TimePoint Now) const {
  Entry New = this->entryOf(Request);
  if (!this->isOwed(New.Kind, Now)) {
    double Left = this->Load.fractionLeft(New.Rank, this->Slots, Now);
    return std::chrono::duration_cast<Duration>(this->workBefore(New) / Left);
  }
  auto Own = this->Totals.find(New.Kind);
  return Own == this->Totals.end() ? Duration::zero() : Own->second.Work;
}

} // namespace hemlockspar
