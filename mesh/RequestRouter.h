#pragma once

#include "mesh/BackendDispatcher.h"
#include "mesh/InstancePicker.h"
#include "mesh/MeshMetrics.h"
#include "mesh/RetryBudget.h"

namespace hemlockspar {

/// What the request path notices of others' state and its surroundings act on.
class RouterEvents {
public:
  virtual ~RouterEvents() = default;

  /// The instance that owns a key cannot be reached.
  virtual void onOwnerUnreachable(const std::string &Service) = 0;

  /// The view has a key of \p Service at an instance that does not own it.
  virtual void onOwnerStale(const std::string &Service) = 0;

  /// The daemon at \p Peer has told how far its view goes.
  virtual void onPeerView(const ViewMarks &Marks, const Address &Peer) = 0;

  /// \p Instance has told that its requests would keep \p Wanted of its slots
  /// busy.
  virtual void onPeerLoad(const InstanceId &Instance, double Wanted) = 0;

  /// Another instance has configuration \p Version in force.
  virtual void onPeerConfiguration(std::uint64_t Version) = 0;
};

/// Takes a caller's request, finds the instance that is to serve it, and sees
/// to it that the caller gets one whole answer within the route's timeout. A
/// request is sent on again only while that cannot make it run twice where it
/// must not, within the route's attempts and the shared budget for repeats.
class RequestRouter {
public:
  RequestRouter(boost::asio::io_context &Io, const MeshSettings &Config,
                const MeshView &View, const LocalServer &Server,
                BackendDispatcher &Local, const RequestHeaderCodec &Dialect,
                RouterEvents &Events, MeshMetrics &Counters);

  /// Answers a request of a caller on this machine.
  HttpResponse serveCaller(HttpRequest &Request, CallerWatch &Watch,
                           const boost::asio::yield_context &Yield);

  /// Answers a request that another daemon sent on.
  HttpResponse servePeer(HttpRequest &Request, CallerWatch &Watch,
                         const boost::asio::yield_context &Yield);

  /// The process stops: other daemons are told to go elsewhere where they can.
  void startDraining() { this->Draining = true; }

  /// Nothing new is taken any more: what is under way has to end in time.
  void rejectNewRequests() { this->RejectingAll = true; }

private:
  struct RequestState;

  /// An owner's word that keys have moved on; good until the map of owners here
  /// is as new as the one that it goes by.
  struct OwnerHint {
    KeyRange Keys;
    InstanceId Owner;
    RowVersion MapVersion = 0;
  };

  /// What to do after a try.
  enum class NextStep { Finish, RetryNow, RetryAfterPause };

  AttemptResult runAttempts(HttpRequest &Request, RequestState &Way,
                            CallerWatch &Watch,
                            const boost::asio::yield_context &Yield);
  std::optional<InstanceId> selectInstance(RequestState &Way, TimePoint Now);
  AttemptResult attemptAt(const InstanceId &Instance, HttpRequest &Request,
                          RequestState &Way, CallerWatch &Watch,
                          const boost::asio::yield_context &Yield);
  AttemptResult forwardTo(const InstanceRow &Row, HttpRequest &Request,
                          const AttemptContext &Terms, CallerWatch &Watch,
                          const boost::asio::yield_context &Yield);
  NextStep nextStepAfter(const AttemptResult &Result, RequestState &Way,
                         TimePoint Now);
  NextStep nextStepAfterNotRun(const AttemptResult &Result, RequestState &Way);
  bool mayRetry(const RequestState &Way, TimePoint Now);
  Duration maxWaitAtInstance(const RequestState &Way, TimePoint Now) const;
  HttpResponse completeRequest(AttemptResult &&Result, const RequestState &Way);
  HttpResponse errorAnswer(http::status Status, const std::string &RequestId,
                           const char *Reason,
                           std::optional<Duration> RetryAfter);
  std::string selectTarget(const Route &Chosen);
  InstanceId ownerOf(const std::string &Service, KeyNumber Key);
  void storeOwnerHint(const AttemptResult &Result, const RequestState &Way);
  void addOwnerHint(AttemptResult &Result, const AttemptContext &Terms) const;
  std::uint64_t activeVersion() const;
  void logRequest(const AttemptResult &Result, const RequestState &Way) const;

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
  std::mt19937_64 Random;
  std::map<std::string, std::vector<OwnerHint>> OwnerHints;
  bool Draining = false;
  bool RejectingAll = false;
};

} // namespace hemlockspar
