#pragma once

#include "coordination/QueueDiscipline.h"

#include <memory>
#include <unordered_map>

namespace hemlockspar {

/// Admission decision on a request at the owner.
enum class AdmissionVerdict { Dispatch, Shed };

/// Name of \p Verdict for logs.
const char *nameOf(AdmissionVerdict Verdict);

struct AdmissionDecision {
  RequestNumber Request = 0;
  AdmissionVerdict Verdict = AdmissionVerdict::Dispatch;
};

/// Limits of an admission queue.
struct AdmissionLimits {
  /// Number of requests that the backend server announced to run concurrently.
  std::uint32_t Capacity = 1;

  /// Maximum number of waiting requests per unit of capacity.
  std::uint32_t QueuePerCapacity = 64;

  /// Whether slow answers lower the concurrency limit. Off where the backend
  /// server states its concurrency and slow answers are normal.
  bool Adaptive = true;
};

/// Decides at the owner when each request is dispatched to the backend server,
/// and sheds requests whose deadline cannot be met or that exceed the queue's
/// limit. Counts only the requests in flight here; reports of the backend
/// server do not override the count. Performs no I/O.
class AdmissionQueue {
public:
  /// \p ServiceTimes is shared with the discipline.
  AdmissionQueue(AdmissionLimits Limits, ServiceTimeEstimator &ServiceTimes,
                 std::unique_ptr<QueueDiscipline> Discipline);

  /// Enqueues or rejects a request; poll returns the decision.
  void offer(const QueuedRequest &Request, TimePoint Now);

  /// A dispatched request ended after \p ServiceTime. \p Overloaded says that
  /// the backend server refused it for load.
  void onFinished(RequestNumber Request, Duration ServiceTime, bool Overloaded,
                  TimePoint Now);

  /// Removes a waiting request whose caller has disconnected. Returns false
  /// when it is not waiting.
  bool cancel(RequestNumber Request);

  /// Decisions that have become due.
  std::vector<AdmissionDecision> poll(TimePoint Now);

  void setCapacity(std::uint32_t Capacity);

  /// Replaces the discipline; the waiting requests are kept.
  void setDiscipline(std::unique_ptr<QueueDiscipline> NewDiscipline,
                     TimePoint Now);

  /// Expected run time of the waiting requests that start before \p Request;
  /// nothing when the discipline does not know run times.
  std::optional<Duration> workAhead(const QueuedRequest &Request,
                                    TimePoint Now) const;

  std::size_t waiting() const { return this->Discipline->size(); }
  std::size_t running() const { return this->Running.size(); }

  /// Number of requests that must start before a new one of \p Rank may.
  std::size_t countStartsBefore(std::uint32_t Rank) const;
  std::uint32_t limit() const;

  /// Estimated wait of a request offered now.
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
