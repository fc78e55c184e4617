#pragma once

#include "mesh/KeyOwnershipManager.h"
#include "net/HttpClient.h"

namespace hemlockspar {

/// The call by which one owner of keys offers some to another.
class OfferClient {
public:
  using ResponseCallback =
      std::function<void(const std::optional<OfferResponse> &Answer)>;

  /// Connections leave from \p LocalHost.
  OfferClient(boost::asio::io_context &Io, const std::string &LocalHost);

  /// Sends an offer of an owner whose load is \p Load; \p OnDone is called
  /// once, without an answer when none came in time.
  void send(const Address &Receiver, double Load, ResponseCallback OnDone);

  /// The giver's load when \p Request is such a call.
  static std::optional<double> parseOffer(const HttpRequest &Request);

  static HttpResponse makeResponse(const OfferResponse &Answer);

private:
  boost::asio::io_context &Io;
  HttpClient Client;
};

} // namespace hemlockspar
