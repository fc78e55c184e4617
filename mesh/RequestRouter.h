#pragma once

#include "mesh/BackendDispatcher.h"
#include "mesh/InstancePicker.h"
#include "mesh/MeshMetrics.h"
#include "mesh/RetryBudget.h"
#include "mesh/links/ResponseGate.h"

namespace hemlockspar {

/// Notifications from the request path to the components that act on the state
/// of other instances.
class RouterEvents {
public:
  virtual ~RouterEvents() = default;

  /// The owner of a key is unreachable.
  virtual void onOwnerUnreachable(const std::string &Service) = 0;

  /// The view lists an owner for a key of \p Service that does not own it.
  virtual void onOwnerStale(const std::string &Service) = 0;

  /// The daemon at \p Peer reported the versions of its view.
  virtual void onPeerView(const ViewVersions &Versions,
                          const Address &Peer) = 0;

  /// \p Instance reported \p OfferedLoad, relative to its slots.
  virtual void onPeerLoad(const InstanceId &Instance, double OfferedLoad) = 0;

  /// Another instance told, in its response to a request of \p AskedAt, how
  /// recently it knew all rows of the operators' table.
  virtual void onPeerFreshness(const FreshnessReport &Theirs,
                               TimePoint AskedAt) = 0;

  /// Another instance has activated configuration \p Version.
  virtual void onPeerConfiguration(std::uint64_t Version) = 0;
};

/// Routes a caller's request to an instance and returns exactly one complete
/// response within the route's timeout. A request is retried only while this
/// cannot execute it twice where that is not allowed, within the route's
/// maximum number of attempts and the shared retry budget.
class RequestRouter {
public:
  RequestRouter(boost::asio::io_context &Io, const MeshSettings &Config,
                const MeshView &View, const LocalServer &Server,
                BackendDispatcher &LocalDispatcher,
                const RequestHeaderCodec &Codec, RouterEvents &Events,
                MeshMetrics &Counters, const MemoryBudgetPtr &Memory);

  /// Handles a request of a caller on this machine.
  HttpResponse serveCaller(HttpRequest &Request, CallerWatch &Watch,
                           const boost::asio::yield_context &Yield);

  /// Handles a request forwarded by another daemon.
  HttpResponse servePeer(HttpRequest &Request, CallerWatch &Watch,
                         const boost::asio::yield_context &Yield);

  /// Starts the shutdown: other daemons are told to use another instance where
  /// possible, and each request must be answered by \p AnswersUntil.
  void startDraining(TimePoint AnswersUntil) {
    this->Draining = true;
    this->LastAnswerAt = AnswersUntil;
    this->Gate.openAt(AnswersUntil - LastResponsesTime);
  }

  /// Rejects all new requests, so that the requests in flight can complete in
  /// time.
  void rejectNewRequests() { this->RejectingAll = true; }

  /// How long the large responses that wait for the link or are expected will
  /// take.
  Duration linkBacklog() const { return this->Gate.backlog(); }

private:
  /// Before a shutdown ends, large responses are held back no longer for this
  /// time, in which the link carries those of all slots.
  static constexpr auto LastResponsesTime = std::chrono::seconds(1);

  struct RequestState;

  /// A redirect from a previous owner: the current owner of a key range. Valid
  /// until the local key map is as new as the one that it is based on.
  struct OwnerHint {
    KeyRange Keys;
    InstanceId Owner;
    RowVersion MapVersion = 0;
  };

  /// What to do after an attempt.
  enum class NextStep { Finish, RetryNow, RetryAfterPause };

  AttemptResult runAttempts(HttpRequest &Request, RequestState &State,
                            CallerWatch &Watch,
                            const boost::asio::yield_context &Yield);
  std::optional<InstanceId> selectInstance(RequestState &State, TimePoint Now);
  bool mayUseRegion(const RequestState &State, const std::string &Region) const;
  bool hasHome(const RequestState &State) const;
  AttemptResult attemptAt(const InstanceId &Instance, HttpRequest &Request,
                          RequestState &State, CallerWatch &Watch,
                          const boost::asio::yield_context &Yield);
  std::optional<AttemptResult>
  requestAdmission(const InstanceRow &Row, std::uint64_t Bytes,
                   const AttemptContext &Context, CallerWatch &Watch,
                   const boost::asio::yield_context &Yield);
  AttemptResult admitBody(std::uint64_t Bytes, const AttemptContext &Context);
  AttemptResult serveWithinLink(HttpRequest &Request,
                                const AttemptContext &Context,
                                CallerWatch &Watch,
                                const boost::asio::yield_context &Yield);
  double responseBytes(const std::string &RouteName) const;
  AttemptResult forwardTo(const InstanceRow &Row, HttpRequest &Request,
                          const AttemptContext &Context, CallerWatch &Watch,
                          const boost::asio::yield_context &Yield);
  NextStep nextStepAfter(const AttemptResult &Result, RequestState &State,
                         TimePoint Now);
  NextStep nextStepAfterNotRun(const AttemptResult &Result,
                               RequestState &State);
  bool mayRetry(const RequestState &State, TimePoint Now);
  Duration maxWaitAtInstance(const RequestState &State, TimePoint Now) const;
  HttpResponse completeRequest(AttemptResult &&Result,
                               const RequestState &State);
  HttpResponse errorAnswer(http::status Status, const std::string &RequestId,
                           const char *Reason,
                           std::optional<Duration> RetryAfter);
  std::string selectTarget(const Route &Selected);
  InstanceId ownerOf(const std::string &Service, KeyNumber Key);
  void storeOwnerHint(const AttemptResult &Result, const RequestState &State);
  void addOwnerHint(AttemptResult &Result, const AttemptContext &Context) const;
  std::uint64_t activeVersion() const;
  void logRequest(const AttemptResult &Result, const RequestState &State) const;

  boost::asio::io_context &Io;
  const MeshSettings &Config;
  const MeshView &View;
  const LocalServer &Server;
  BackendDispatcher &LocalDispatcher;
  const RequestHeaderCodec &HeaderCodec;
  RouterEvents &Events;
  MeshMetrics &Counters;
  HttpClient PeerClient;
  InstancePicker Picker;
  RetryBudget Budget;

  /// Large request bodies from other daemons.
  LinkBudget Link;
  RouteResponses Responses;
  ResponseGate Gate;
  std::mt19937_64 Random;
  std::map<std::string, std::vector<OwnerHint>> OwnerHints;
  bool Draining = false;
  bool RejectingAll = false;

  /// No request outlasts this time.
  TimePoint LastAnswerAt = TimePoint::max();
};

} // namespace hemlockspar
