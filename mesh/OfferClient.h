#pragma once

#include "mesh/KeyOwnershipManager.h"
#include "net/HttpClient.h"

namespace hemlockspar {

/// Sends offers of keys to other instances, and encodes and decodes them.
class OfferClient {
public:
  using ResponseCallback =
      std::function<void(const std::optional<OfferResponse> &Response)>;

  /// Connections are opened from \p LocalHost.
  OfferClient(boost::asio::io_context &Io, const std::string &LocalHost);

  /// Sends an offer from an owner whose load is \p Load; \p OnDone is called
  /// exactly once, with nothing when no response came in time.
  void send(const Address &Receiver, double Load, ResponseCallback OnDone);

  /// The giver's load when \p Request is an offer; nothing otherwise.
  static std::optional<double> parseOffer(const HttpRequest &Request);

  static HttpResponse makeResponse(const OfferResponse &Answer);

private:
  boost::asio::io_context &Io;
  HttpClient Client;
};

} // namespace hemlockspar
