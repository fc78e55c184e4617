#pragma once

#include "coordination/AdmissionQueue.h"
#include "mesh/WaitPolicy.h"
#include "mesh/admission/UrgencyDiscipline.h"
#include "mesh/admission/WaitBound.h"

#include <queue>
#include <random>

namespace hemlockspar {

/// Requests of one route.
struct Kind {
  std::string Name;
  std::uint32_t Rank = 0;
  Duration Objective{};
  Duration Timeout{};
  Duration Run{};

  /// Share of the offered work.
  double Share = 0;

  /// The kind of two concurrent calls that each run makes at the second server;
  /// negative for none.
  int Calls = -1;

  /// Which server the requests are for.
  int Server = 0;
};

/// A policy under comparison.
struct Policy {
  const char *Name;

  /// Null for the queue as it is: PriorityDiscipline and maxQueueWait.
  std::function<std::unique_ptr<UrgencyOrder>()> Order;
  double Share = KindShares::DefaultShare;
};

/// Arrivals of one load pattern.
struct Pattern {
  const char *Name;
  std::vector<Kind> Kinds;

  /// Offered work relative to the capacity at a time in seconds.
  std::function<double(double)> Load;

  /// Factor on run times at a time in seconds.
  std::function<double(double)> Slowness = [](double) { return 1.0; };

  /// Callers send a refused request again at once, up to three times.
  bool Retries = false;

  /// Whether Slowness exceeds 1 at some time.
  bool IsSlow = false;
};

/// Results of one kind of request.
struct KindResult {
  int Requests = 0;
  int InTime = 0;
  int Late = 0;
  int Refused = 0;

  /// Given up after a slot was used, or run without an answer in time to the
  /// caller.
  int Failed = 0;
  Duration RefusalTime{};
  Duration WastedWork{};
  Duration MaxWait{};

  double ratio() const {
    return this->Requests ? double(this->InTime + this->Late) / this->Requests
                          : 0;
  }
};

/// Replays made arrivals against the decision classes: two backend servers with
/// slots, no network and no daemons.
class PolicyReplay {
public:
  PolicyReplay(const Policy &Tested, const Pattern &Arrivals);

  std::vector<KindResult> run(double Seconds);

private:
  struct Server {
    Server(const Policy &Tested);

    ServiceTimeEstimator RouteTimes;
    RunTimes Times;
    StandingQueue Standing;
    KindShares Shares;
    AdmissionQueue Queue;
    double MeanRun = 0.12;
  };

  struct Request {
    int Kind = 0;
    TimePoint ArrivedAt{};

    /// The run time relative to the mean of the kind.
    double Length = 1;
    TimePoint StartedAt{};
    RequestNumber Parent = 0;
    int Attempts = 0;
    int OpenCalls = 0;
    bool CallFailed = false;
  };

  struct Event {
    TimePoint At;
    std::uint64_t Sequence = 0;
    std::function<void()> Action;
    bool operator>(const Event &Other) const {
      return std::tie(At, Sequence) > std::tie(Other.At, Other.Sequence);
    }
  };

  void at(TimePoint Time, std::function<void()> Action);
  double seconds() const;
  Request make(int Kind);
  void scheduleArrival(int Kind);
  void offer(const Request &New);
  bool isAdmitted(Server &At, const Request &New);
  QueuedRequest queued(RequestNumber Number, const Request &New,
                       const Server &At) const;
  void poll(int Index);
  void start(RequestNumber Number, int Index);
  void end(RequestNumber Number);
  void finish(RequestNumber Number);
  void refuse(const Request &Refused);
  void onCallEnded(RequestNumber Parent, bool Failed);

  const Policy &Tested;
  const Pattern &Arrivals;
  Server First;
  Server Second;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events;
  std::map<RequestNumber, Request> Requests;
  std::vector<KindResult> Results;

  /// Per kind, so that all policies see the same arrivals.
  std::vector<std::mt19937_64> Random;
  RequestNumber Last = 0;
  std::uint64_t LastEvent = 0;
  TimePoint Begin{std::chrono::seconds(100)};
  TimePoint Now = Begin;
  TimePoint End;
};

} // namespace hemlockspar
