#pragma once

#include "coordination/QueueDiscipline.h"

#include <memory>
#include <unordered_map>

namespace hemlockspar {

/// What becomes of a request at the owner.
enum class AdmissionVerdict { Dispatch, Shed };

/// Name of \p Verdict for logs.
const char *nameOf(AdmissionVerdict Verdict);

struct AdmissionDecision {
  RequestNumber Request = 0;
  AdmissionVerdict Verdict = AdmissionVerdict::Dispatch;
};

/// Bounds of an admission queue.
struct AdmissionLimits {
  /// Requests that the backend server announced to run at once.
  std::uint32_t Capacity = 1;

  /// Waiting requests for each unit of capacity.
  std::uint32_t QueuePerCapacity = 64;

  /// Whether slow answers lower the number that run at once. Left out where
  /// the backend server states what it runs at once and long answers are
  /// ordinary.
  bool Adaptive = true;
};

/// Decides at the owner which request is dispatched to the backend server and
/// when, and which is refused because its deadline cannot be met. Counts only
/// what is in flight here; reports of the backend server do not override it.
/// Free of I/O.
class AdmissionQueue {
public:
  /// \p Learned is shared with the discipline.
  AdmissionQueue(AdmissionLimits Limits, ServiceTimeEstimator &ServiceTimes,
                 std::unique_ptr<QueueDiscipline> Discipline);

  /// Takes in a request. poll tells what becomes of it.
  void offer(const QueuedRequest &Request, TimePoint Now);

  /// A dispatched request ended after \p ServiceTime. \p Overloaded says that
  /// the backend server refused it for load.
  void onFinished(RequestNumber Request, Duration ServiceTime, bool Overloaded,
                  TimePoint Now);

  /// The caller of a waiting request is gone. False when it is not waiting.
  bool cancel(RequestNumber Request);

  /// Decisions that have become due.
  std::vector<AdmissionDecision> poll(TimePoint Now);

  void setCapacity(std::uint32_t Capacity);

  std::size_t waiting() const { return this->Discipline->size(); }
  std::size_t running() const { return this->Running.size(); }

  /// Requests that have to start before a new one of \p Rank may.
  std::size_t countStartsBefore(std::uint32_t Rank) const;
  std::uint32_t limit() const;

  /// How long a request offered now would wait, as far as can be told.
  Duration expectedWait() const;

private:
  void adaptLimit(const std::string &Class, Duration ServiceTime,
                  bool Overloaded, TimePoint Now);

  AdmissionLimits Limits;
  ServiceTimeEstimator &ServiceTimes;
  std::unique_ptr<QueueDiscipline> Discipline;
  std::unordered_map<RequestNumber, QueuedRequest> Running;
  std::vector<RequestNumber> RejectedOnOffer;

  /// The adapted limit, between half of the capacity and the capacity.
  double Limit;
  TimePoint LimitLoweredAt;
};

} // namespace hemlockspar
