#include "mesh/links/ResponseAdmission.h"

namespace hemlockspar {

namespace {

/// Fraction of the time to the objective, less the transfer, that a response
/// may be expected to wait for the link. The rest covers responses and runs
/// longer than the mean and the response's way: under sustained overload the
/// backlog settles at this bound, and without a rest 29% of the responses were
/// late.
constexpr double ObjectiveShare = 0.75;

/// Fraction of the time to the deadline that a request may wait for the link
/// when it would miss its objective on an idle link as well.
constexpr double DeadlineShare = 0.25;

Duration fractionOf(Duration Span, double Share) {
  return std::chrono::duration_cast<Duration>(Span * Share);
}

} // namespace

LinkDecision ResponseAdmission::decide(const LinkDemand &Demand,
                                       TimePoint Now) const {
  LinkDecision Decision;
  Decision.Expected = this->Responses.estimate(Demand.RouteName);
  if (!Decision.Expected.Large) {
    return Decision;
  }

  std::uint64_t Reserved = 0;
  auto End = this->ReservedBytes->upper_bound(Demand.Rank);
  for (auto Sum = this->ReservedBytes->begin(); Sum != End; ++Sum) {
    Reserved += Sum->second;
  }
  Decision.Transfer = this->Queue.transferTime(
      static_cast<std::uint64_t>(Decision.Expected.Bytes));
  Decision.Ahead = this->Queue.backlogBefore(Demand.Rank, Now) +
                   this->Queue.transferTime(Reserved);

  // What leaves while the request runs delays nothing.
  if (Decision.Ahead <= Decision.Expected.RunTime) {
    return Decision;
  }
  TimePoint IdleLinkEnd = Now + Decision.Expected.RunTime + Decision.Transfer;
  if (IdleLinkEnd <= Demand.ObjectiveAt) {
    Decision.Admitted = Decision.Ahead <=
                        fractionOf(Demand.ObjectiveAt - Now - Decision.Transfer,
                                   ObjectiveShare);
    return Decision;
  }
  // Refusing it for its objective would be refusing it everywhere.
  Decision.Admitted =
      Decision.Ahead <= fractionOf(Demand.Deadline - Now, DeadlineShare);
  return Decision;
}

ResponseAdmission::Reservation ResponseAdmission::reserve(std::uint32_t Rank,
                                                          std::uint64_t Bytes) {
  (*this->ReservedBytes)[Rank] += Bytes;
  auto GiveBack = [Sums = this->ReservedBytes, Rank, Bytes](void *) {
    auto Sum = Sums->find(Rank);
    Sum->second -= Bytes;
    if (Sum->second == 0) {
      Sums->erase(Sum);
    }
  };
  return {nullptr, GiveBack};
}

Duration ResponseAdmission::backlog(TimePoint Now) const {
  std::uint64_t Reserved = 0;
  for (const auto &[Rank, Sum] : *this->ReservedBytes) {
    Reserved += Sum;
  }
  return this->Queue.backlog(Now) + this->Queue.transferTime(Reserved);
}

} // namespace hemlockspar
