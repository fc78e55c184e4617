#pragma once

#include "mesh/KeyKeeper.h"
#include "net/HttpClient.h"

namespace hemlockspar {

/// The call by which one owner of keys offers some to another.
class OfferCalls {
public:
  using Done = std::function<void(const std::optional<OfferAnswer> &Answer)>;

  /// Connections leave from \p LocalHost.
  OfferCalls(boost::asio::io_context &Io, const std::string &LocalHost);

  /// Sends an offer of an owner whose load is \p Load; \p OnDone is called
  /// once, without an answer when none came in time.
  void send(const Address &Receiver, double Load, Done OnDone);

  /// The giver's load when \p Request is such a call.
  static std::optional<double> readOffer(const HttpRequest &Request);

  static HttpResponse writeAnswer(const OfferAnswer &Answer);

private:
  boost::asio::io_context &Io;
  HttpClient Client;
};

} // namespace hemlockspar
