#pragma once

#include "coordination/ServiceTimeEstimator.h"

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace hemlockspar {

using RequestNumber = std::uint64_t;

/// A request as the admission queue sees it.
struct QueuedRequest {
  RequestNumber Number = 0;

  /// Requests of one class are expected to take about the same time.
  std::string Class;
  std::string Caller;
  TimePoint ArrivedAt;
  TimePoint Deadline = TimePoint::max();

  /// Lower ranks are dispatched first by PriorityDiscipline; the others ignore
  /// it.
  std::uint32_t Rank = 0;

  /// A response by this time is worth most to the caller.
  TimePoint DueAt = TimePoint::max();
};

/// Queue order that operators declare for a service.
enum class QueueOrder { Fifo, Classed };

/// Name of \p Order as declarations show it.
const char *nameOf(QueueOrder Order);
std::optional<QueueOrder> queueOrderOf(const std::string &Name);

/// The order in which waiting requests are dispatched.
class QueueDiscipline {
public:
  virtual ~QueueDiscipline() = default;

  virtual void push(const QueuedRequest &Request) = 0;

  /// Removes and returns the request to dispatch next, given that \p Limit
  /// requests may run at once; nothing when none may be dispatched now.
  virtual std::optional<QueuedRequest> pop(std::uint32_t Limit,
                                           TimePoint Now) = 0;

  /// Removes a waiting request. False when it is not here.
  virtual bool remove(RequestNumber Number) = 0;

  /// Removes and returns every request that can no longer meet its deadline.
  virtual std::vector<QueuedRequest> removeLate(TimePoint Now) = 0;

  /// A dispatched request has ended.
  virtual void onFinished(const QueuedRequest &Request) = 0;

  virtual std::size_t size() const = 0;

  /// Number of waiting requests that are dispatched before a new one of \p
  /// Rank.
  virtual std::size_t countAhead(std::uint32_t Rank) const {
    (void)Rank;
    return this->size();
  }

  /// Expected run time of the waiting requests that are dispatched before \p
  /// Request; nothing when the discipline does not know run times.
  virtual std::optional<Duration> workAhead(const QueuedRequest &Request,
                                            TimePoint Now) const {
    (void)Request;
    (void)Now;
    return std::nullopt;
  }

  /// Removes and returns requests that would start too late behind the others,
  /// given that \p Limit requests may run at once.
  virtual std::vector<QueuedRequest> removeExcess(std::uint32_t Limit,
                                                  TimePoint Now) {
    (void)Limit;
    (void)Now;
    return {};
  }

  /// Removes and returns a waiting request in whose place \p Request may wait;
  /// nothing when none is less urgent.
  virtual std::optional<QueuedRequest>
  displaceFor(const QueuedRequest &Request) {
    (void)Request;
    return std::nullopt;
  }
};

/// First come, first served.
class FifoDiscipline : public QueueDiscipline {
public:
  void push(const QueuedRequest &Request) override;
  std::optional<QueuedRequest> pop(std::uint32_t Limit, TimePoint Now) override;
  bool remove(RequestNumber Number) override;
  std::vector<QueuedRequest> removeLate(TimePoint Now) override;
  void onFinished(const QueuedRequest &Request) override;
  std::size_t size() const override { return this->Waiting.size(); }

private:
  std::deque<QueuedRequest> Waiting;
};

/// Round-robin queue over callers: takes one waiting request of each caller in
/// turn.
class CallerRoundRobin {
public:
  void push(const QueuedRequest &Request);
  std::optional<QueuedRequest> pop();
  bool remove(RequestNumber Number);
  void removeIf(const std::function<bool(const QueuedRequest &)> &Condition,
                std::vector<QueuedRequest> &Removed);
  std::size_t size() const { return this->Count; }
  bool empty() const { return this->Count == 0; }

private:
  struct CallerQueue {
    std::string Caller;
    std::deque<QueuedRequest> Waiting;
  };

  /// Callers with waiting requests; the front one is next.
  std::list<CallerQueue> CallerQueues;
  std::size_t Count = 0;
};

/// Reserves capacity for short requests according to their demand, so that long
/// requests cannot block them. Serves callers round-robin and drops requests
/// whose deadline cannot be met.
class ClassedDiscipline : public QueueDiscipline {
public:
  explicit ClassedDiscipline(const ServiceTimeEstimator &ServiceTimes);

  void push(const QueuedRequest &Request) override;
  std::optional<QueuedRequest> pop(std::uint32_t Limit, TimePoint Now) override;
  bool remove(RequestNumber Number) override;
  std::vector<QueuedRequest> removeLate(TimePoint Now) override;
  void onFinished(const QueuedRequest &Request) override;
  std::size_t size() const override;

  /// How many long requests may run at once.
  std::uint32_t longLimit(std::uint32_t Limit) const;

private:
  void recordShortArrival(const QueuedRequest &Request);

  const ServiceTimeEstimator &ServiceTimes;
  CallerRoundRobin Short;
  CallerRoundRobin Long;
  std::map<RequestNumber, bool> RunningIsLong;
  std::uint32_t RunningLong = 0;

  /// Mean number of requests in flight that short requests need, smoothed
  /// exponentially.
  double ShortDemand = 0;
  std::optional<TimePoint> LastShortArrival;
};

/// Priority queue: lower ranks first, oldest first within a rank; drops
/// requests that can no longer be answered in time. Under overload it keeps
/// urgent requests, and calls that other requests wait for, from queueing
/// behind the rest.
class PriorityDiscipline : public QueueDiscipline {
public:
  explicit PriorityDiscipline(const ServiceTimeEstimator &ServiceTimes);

  void push(const QueuedRequest &Request) override;
  std::optional<QueuedRequest> pop(std::uint32_t Limit, TimePoint Now) override;
  bool remove(RequestNumber Number) override;
  std::vector<QueuedRequest> removeLate(TimePoint Now) override;
  void onFinished(const QueuedRequest &Request) override;
  std::size_t size() const override { return this->Waiting.size(); }
  std::size_t countAhead(std::uint32_t Rank) const override;

private:
  using OrderKey = std::tuple<std::uint32_t, TimePoint, RequestNumber>;

  /// A waiting request in the order of the latest useful start.
  using ExpiryKey = std::pair<TimePoint, RequestNumber>;

  struct Entry {
    OrderKey Key;
    ExpiryKey Expiry;
  };

  QueuedRequest extract(std::map<OrderKey, QueuedRequest>::iterator At);

  const ServiceTimeEstimator &ServiceTimes;
  std::map<OrderKey, QueuedRequest> Waiting;
  std::unordered_map<RequestNumber, Entry> Entries;
  std::set<ExpiryKey> Expiring;
  std::map<std::uint32_t, std::size_t> CountByRank;
};

std::unique_ptr<QueueDiscipline>
makeDiscipline(QueueOrder Order, const ServiceTimeEstimator &ServiceTimes);

} // namespace hemlockspar
