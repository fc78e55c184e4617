#pragma once

#include "coordination/AdmissionQueue.h"
#include "mesh/KeyAdmission.h"
#include "mesh/LocalServer.h"
#include "mesh/MeshMetrics.h"
#include "mesh/RequestDialect.h"
#include "mesh/Try.h"
#include "mesh/WaitPolicy.h"
#include "net/HttpClient.h"

namespace hemlockspar {

/// The one way to the backend server beside this daemon: nothing else reaches
/// it. Lets as many requests in as it has slots, the others wait here in order
/// of urgency, and what would wait too long is refused at once, so that it can
/// go elsewhere.
class Gate {
public:
  /// \p OnRefused is called when no process listens at the backend server's
  /// address.
  Gate(boost::asio::io_context &Io, LocalServer &Server, KeyAdmission &Keys,
       const RequestDialect &Dialect, MeshMetrics &Counters,
       std::function<void()> OnRefused);

  TryResult serve(HttpRequest &Request, const TryTerms &Terms,
                  CallerWatch &Watch, const boost::asio::yield_context &Yield);

  ServerLoad load() const;

  /// Share of the slots that all requests that come would keep busy, smoothed,
  /// those that are refused among them; above 1 when they are more than the
  /// backend server can do.
  double wantedShare(TimePoint Now);

  /// Refuses requests that cannot be answered in time any more.
  void expireWaiting();

  std::size_t running() const { return this->Queue.running(); }

private:
  struct Waiter;

  std::optional<TryResult> check(const TryTerms &Terms) const;
  bool awaitKey(const TryTerms &Terms, const boost::asio::yield_context &Yield);
  Duration expectedWait(std::uint32_t Rank) const;
  bool admit(RequestNumber Number, const TryTerms &Terms, CallerWatch &Watch,
             const boost::asio::yield_context &Yield);
  void applyVerdicts();
  TryResult dispatch(HttpRequest &Request, const TryTerms &Terms,
                     CallerWatch &Watch,
                     const boost::asio::yield_context &Yield);
  TryResult judge(ExchangeResult &Exchange, const TryTerms &Terms);
  void noteBusy(TimePoint Now);
  void noteDemand(const TryTerms &Terms, TimePoint Now);
  double demand(TimePoint Now) const;

  boost::asio::io_context &Io;
  LocalServer &Server;
  KeyAdmission &Keys;
  const RequestDialect &Dialect;
  MeshMetrics &Counters;
  std::function<void()> OnRefused;
  HttpClient Client;
  ServiceTimeEstimator Learned;
  AdmissionQueue Queue;
  StandingQueue Standing;
  std::map<RequestNumber, Waiter *> Waiters;
  RequestNumber LastNumber = 0;

  /// Mean time of a request at the backend server, in seconds.
  double MeanSeconds;

  /// Busy share with its fading history.
  double Busy = 0;
  TimePoint BusyAt;

  /// Slots that the requests that come would keep busy, at DemandAt.
  double Demand = 0;
  TimePoint DemandAt;
};

} // namespace hemlockspar
