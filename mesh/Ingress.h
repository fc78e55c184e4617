#pragma once

#include "mesh/Gate.h"
#include "mesh/InstancePicker.h"
#include "mesh/MeshMetrics.h"
#include "mesh/RetryBudget.h"

namespace hemlockspar {

/// What the request path notices of others' state and its surroundings act on.
class IngressEvents {
public:
  virtual ~IngressEvents() = default;

  /// The instance that owns a key cannot be reached.
  virtual void ownerUnreachable(const std::string &Service) = 0;

  /// The view has a key of \p Service at an instance that does not own it.
  virtual void ownerWrong(const std::string &Service) = 0;

  /// The daemon at \p Peer has told how far its view goes.
  virtual void viewSeen(const ViewVersions &Marks, const Address &Peer) = 0;

  /// \p Instance has told that its requests would keep \p Wanted of its slots
  /// busy.
  virtual void loadSeen(const InstanceId &Instance, double Wanted) = 0;

  /// Another instance has configuration \p Version in force.
  virtual void configurationSeen(std::uint64_t Version) = 0;
};

/// Takes a caller's request, finds the instance that is to serve it, and sees
/// to it that the caller gets one whole answer within the route's timeout. A
/// request is sent on again only while that cannot make it run twice where it
/// must not, within the route's attempts and the shared budget for repeats.
class Ingress {
public:
  Ingress(boost::asio::io_context &Io, const MeshSettings &Config,
          const MeshView &View, const LocalServer &Server, Gate &Local,
          const RequestDialect &Dialect, IngressEvents &Events,
          MeshMetrics &Counters);

  /// Answers a request of a caller on this machine.
  HttpResponse serveCaller(HttpRequest &Request, CallerWatch &Watch,
                           const boost::asio::yield_context &Yield);

  /// Answers a request that another daemon sent on.
  HttpResponse servePeer(HttpRequest &Request, CallerWatch &Watch,
                         const boost::asio::yield_context &Yield);

  /// The process stops: other daemons are told to go elsewhere where they can.
  void beginStop() { this->Stopping = true; }

  /// Nothing new is taken any more: what is under way has to end in time.
  void refuseAll() { this->Refusing = true; }

private:
  struct Journey;

  /// An owner's word that keys have moved on; good until the map of owners here
  /// is as new as the one that it goes by.
  struct Hint {
    KeySpan Keys;
    InstanceId Owner;
    RowVersion MapVersion = 0;
  };

  /// What to do after a try.
  enum class NextStep { Finish, TryNow, TryAfterPause };

  TryResult travel(HttpRequest &Request, Journey &Way, CallerWatch &Watch,
                   const boost::asio::yield_context &Yield);
  std::optional<InstanceId> choose(Journey &Way, TimePoint Now);
  TryResult tryAt(const InstanceId &Instance, HttpRequest &Request,
                  Journey &Way, CallerWatch &Watch,
                  const boost::asio::yield_context &Yield);
  TryResult sendTo(const InstanceRow &Row, HttpRequest &Request,
                   const TryTerms &Terms, CallerWatch &Watch,
                   const boost::asio::yield_context &Yield);
  NextStep judge(const TryResult &Result, Journey &Way, TimePoint Now);
  NextStep afterNotRun(const TryResult &Result, Journey &Way);
  bool mayRepeat(const Journey &Way, TimePoint Now);
  Duration allowedWait(const Journey &Way, TimePoint Now) const;
  HttpResponse finish(TryResult &&Result, const Journey &Way);
  HttpResponse refuse(http::status Status, const std::string &RequestId,
                      const char *Reason, std::optional<Duration> RetryAfter);
  std::string pickTarget(const Route &Chosen);
  InstanceId ownerOf(const std::string &Service, KeyNumber Key);
  void takeHint(const TryResult &Result, const Journey &Way);
  void nameOwner(TryResult &Result, const TryTerms &Terms) const;
  std::uint64_t versionInForce() const;
  void log(const TryResult &Result, const Journey &Way) const;

  boost::asio::io_context &Io;
  const MeshSettings &Config;
  const MeshView &View;
  const LocalServer &Server;
  Gate &Local;
  const RequestDialect &Dialect;
  IngressEvents &Events;
  MeshMetrics &Counters;
  HttpClient Peers;
  InstancePicker Picker;
  RetryBudget Budget;
  std::mt19937_64 Random;
  std::map<std::string, std::vector<Hint>> Hints;
  bool Stopping = false;
  bool Refusing = false;
};

} // namespace hemlockspar
