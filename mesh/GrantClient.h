#pragma once

#include "mesh/GrantCodec.h"
#include "mesh/LocalServer.h"

namespace hemlockspar {

/// Sends grant and release calls to the local backend server and passes the
/// results on.
class GrantClient : public GrantCalls {
public:
  /// Receives the results of the calls.
  class Listener {
  public:
    virtual ~Listener() = default;
    virtual void onGrantResult(GrantCallNumber Number,
                               GrantOutcome Outcome) = 0;
    virtual void
    onReleaseResult(GrantCallNumber Number,
                    const std::optional<std::string> &HandoverState) = 0;

    /// No process listens at the server's address.
    virtual void onGrantRefused() = 0;
  };

  GrantClient(boost::asio::io_context &Io, const LocalServer &Server,
              const GrantCodec &Codec, Listener &Results);

  void grant(GrantCallNumber Number, const GrantedKeys &Grant,
             Duration HoldTime) override;
  void release(GrantCallNumber Number, const GrantedKeys &Grant) override;

private:
  boost::asio::io_context &Io;
  const LocalServer &Server;
  const GrantCodec &Codec;
  Listener &Results;
  HttpClient Client;

  /// Each release has a connection of its own: responses have no ids, and a
  /// late copy of an earlier one would confirm a release whose keys are in use.
  HttpClient ReleaseClient;
};

} // namespace hemlockspar
