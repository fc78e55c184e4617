#pragma once

#include "coordination/AdmissionQueue.h"
#include "mesh/Attempt.h"
#include "mesh/KeyAccess.h"
#include "mesh/LocalServer.h"
#include "mesh/MeshMetrics.h"
#include "mesh/RequestHeaderCodec.h"
#include "mesh/WaitPolicy.h"
#include "net/HttpClient.h"

namespace hemlockspar {

/// The one way to the backend server beside this daemon: nothing else reaches
/// it. Lets as many requests in as it has slots, the others wait here in order
/// of urgency, and what would wait too long is refused at once, so that it can
/// go elsewhere.
class BackendDispatcher {
public:
  /// \p OnRefused is called when no process listens at the backend server's
  /// address.
  BackendDispatcher(boost::asio::io_context &Io, LocalServer &Server,
                    KeyAccess &Keys, const RequestHeaderCodec &Dialect,
                    MeshMetrics &Counters, std::function<void()> OnRefused);

  AttemptResult serve(HttpRequest &Request, const AttemptContext &Terms,
                      CallerWatch &Watch,
                      const boost::asio::yield_context &Yield);

  ServerLoad load() const;

  /// Share of the slots that all requests that come would keep busy, smoothed,
  /// those that are refused among them; above 1 when they are more than the
  /// backend server can do.
  double offeredLoad(TimePoint Now);

  /// Refuses requests that cannot be answered in time any more.
  void shedExpired();

  std::size_t running() const { return this->Queue.running(); }

private:
  struct Waiter;

  std::optional<AttemptResult> checkServer(const AttemptContext &Terms) const;
  bool waitForKey(const AttemptContext &Terms,
                  const boost::asio::yield_context &Yield);
  Duration expectedWait(std::uint32_t Rank) const;
  bool admit(RequestNumber Number, const AttemptContext &Terms,
             CallerWatch &Watch, const boost::asio::yield_context &Yield);
  void applyVerdicts();
  AttemptResult dispatch(HttpRequest &Request, const AttemptContext &Terms,
                         CallerWatch &Watch,
                         const boost::asio::yield_context &Yield);
  AttemptResult classifyExchange(ExchangeResult &Exchange,
                                 const AttemptContext &Terms);
  void updateUtilisation(TimePoint Now);
  void recordOfferedLoad(const AttemptContext &Terms, TimePoint Now);
  double offeredSlots(TimePoint Now) const;

  boost::asio::io_context &Io;
  LocalServer &Server;
  KeyAccess &Keys;
  const RequestHeaderCodec &HeaderCodec;
  MeshMetrics &Counters;
  std::function<void()> OnConnectionRefused;
  HttpClient Client;
  ServiceTimes RouteTimes;
  AdmissionQueue Queue;
  StandingQueue Standing;
  std::map<RequestNumber, Waiter *> Waiters;
  RequestNumber LastNumber = 0;

  /// Mean time of a request at the backend server, in seconds.
  double MeanRunSeconds;

  /// Busy share with its fading history.
  double Utilisation = 0;
  TimePoint UtilisationAt;

  /// Slots that the requests that come would keep busy, at DemandAt.
  double OfferedSlots = 0;
  TimePoint OfferedSlotsAt;
};

} // namespace hemlockspar
