#pragma once

#include "coordination/AdmissionQueue.h"
#include "mesh/Attempt.h"
#include "mesh/KeyAdmission.h"
#include "mesh/LocalServer.h"
#include "mesh/MeshMetrics.h"
#include "mesh/RequestHeaderCodec.h"
#include "mesh/WaitPolicy.h"
#include "mesh/admission/RankedAdmission.h"
#include "mesh/placement/ColdProbe.h"
#include "mesh/placement/ColdStartLimiter.h"
#include "mesh/placement/ServerPace.h"
#include "net/HttpClient.h"

namespace hemlockspar {

/// Admits requests to the local backend server, which is accessed through this
/// class only. As many requests run concurrently as the server has slots;
/// others queue here by urgency. A request that would wait too long is refused
/// at once, so that it can be sent to another instance.
class BackendDispatcher {
public:
  /// \p OnConnectionRefused is called when the backend server's address refuses
  /// a connection.
  BackendDispatcher(boost::asio::io_context &Io, const MeshView &View,
                    LocalServer &Server, KeyAdmission &Keys,
                    const RequestHeaderCodec &Codec, MeshMetrics &Counters,
                    std::function<void()> OnConnectionRefused,
                    const MemoryBudgetPtr &Memory);

  AttemptResult serve(HttpRequest &Request, const AttemptContext &Context,
                      CallerWatch &Watch,
                      const boost::asio::yield_context &Yield);

  /// Whether a request with \p Context would be admitted now. Otherwise
  /// \p Refusal is its result.
  bool mayAdmit(const AttemptContext &Context, AttemptResult &Refusal);

  ServerLoad load() const;

  /// Returns the offered load relative to the number of slots, smoothed and
  /// including refused requests; above 1 when it exceeds the capacity of the
  /// backend server.
  double offeredLoad(TimePoint Now);

  /// The offered load, smoothed over a shorter time.
  double recentOfferedLoad(TimePoint Now) const;

  /// Refuses queued requests that can no longer be answered in time.
  void shedExpired();

  std::size_t running() const { return this->Queue.running(); }

  /// The view has changed: when the data centre is evacuated, requests that
  /// wait for a slot are refused.
  void onViewChanged();

  /// The state of the local backend server may have changed: requests that it
  /// no longer tolerates are refused.
  void onServerChanged();

private:
  struct Waiter;

  std::optional<AttemptResult> checkServer(const AttemptContext &Context) const;
  bool isEvacuated(const AttemptContext &Context, TimePoint Now) const;
  bool waitForKey(const AttemptContext &Context,
                  const boost::asio::yield_context &Yield);
  Duration expectedWait(std::uint32_t Rank) const;
  Duration maxWait(const AttemptContext &Context, TimePoint Now) const;
  AdmissionInputs admissionInputs(const AttemptContext &Context,
                                  TimePoint Now) const;
  void updateColdStart(const std::string &Service);
  void logColdExcess(const AttemptContext &Context, TimePoint Now) const;
  AttemptResult refusal(AttemptReason Reason, Duration Wait,
                        const AttemptContext &Context) const;
  AttemptResult busy(const AdmissionInputs &Inputs,
                     const AttemptContext &Context) const;
  AttemptResult serveAdmitted(RequestNumber Number, HttpRequest &Request,
                              const AttemptContext &Context, CallerWatch &Watch,
                              const boost::asio::yield_context &Yield);
  void refuseExcessOfColdServer(TimePoint Now);
  void assumeCold();
  void probeServer();
  bool admit(RequestNumber Number, Waiter &Entry, const AttemptContext &Context,
             CallerWatch &Watch, const boost::asio::yield_context &Yield);
  void applyVerdicts();
  AttemptResult
  dispatchWithinColdLimit(HttpRequest &Request, const AttemptContext &Context,
                          CallerWatch &Watch,
                          const boost::asio::yield_context &Yield);
  AttemptResult dispatch(HttpRequest &Request, const AttemptContext &Context,
                         CallerWatch &Watch,
                         const boost::asio::yield_context &Yield);
  AttemptResult classifyExchange(ExchangeResult &Exchange,
                                 const AttemptContext &Context);
  void updateUtilisation(TimePoint Now);
  void recordOfferedLoad(const AttemptContext &Context, TimePoint Now);
  double offeredSlots(TimePoint Now) const;
  double recentOfferedSlots(TimePoint Now) const;

  boost::asio::io_context &Io;
  const MeshView &View;
  LocalServer &Server;
  KeyAdmission &Keys;
  const RequestHeaderCodec &HeaderCodec;
  MeshMetrics &Counters;
  std::function<void()> OnConnectionRefused;
  HttpClient Client;

  /// Health checks have connections of their own: their responses name no
  /// request.
  HttpClient HealthClient;
  ServiceTimeEstimator RouteTimes;
  AdmissionQueue Queue;
  StandingQueue Standing;
  RankedAdmission Ranked;
  ColdStartLimiter ColdStart;
  ColdProbe Probe;
  ServerPace Pace;
  std::map<RequestNumber, Waiter *> Waiters;
  RequestNumber LastNumber = 0;

  /// Since when the evacuation of the data centre has been known here.
  std::optional<TimePoint> EvacuatedSince;

  /// Mean run time at the backend server, in seconds.
  double MeanRunSeconds;

  /// Smoothed fraction of slots in use or waited for.
  double Utilisation = 0;
  TimePoint UtilisationAt;

  /// Slots that arriving requests would occupy, as of OfferedSlotsAt.
  double OfferedSlots = 0;
  TimePoint OfferedSlotsAt;

  /// The same, smoothed over a shorter time.
  double RecentOfferedSlots = 0;
};

} // namespace hemlockspar
