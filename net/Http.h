#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <json/value.h>
#include <string>

namespace hemlockspar {

namespace http = boost::beast::http;

using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

/// Limits on the connections and requests of peers, and on the time they may
/// take.
struct HttpLimits {
  std::uint32_t MaxHeaderBytes = 16 << 10;
  std::uint64_t MaxBodyBytes = 4 << 20;
  std::size_t MaxConnections = 4096;
  std::chrono::milliseconds IdleTimeout{60000};
  std::chrono::milliseconds ReadTimeout{15000};
  std::chrono::milliseconds WriteTimeout{15000};
};

/// Tells a request handler that its caller has disconnected. OnCancel cancels
/// what the handler waits for; it is called at most once.
struct CallerWatch {
  bool Disconnected = false;
  std::function<void()> OnCancel;

  /// Looks at the connection itself; null where there is none to look at.
  std::function<bool()> IsConnectionClosed;

  /// Whether the caller has disconnected, also when that has not been processed
  /// yet: a process that is short of processor time finds the request and the
  /// end of its connection at the same moment.
  bool isGone() {
    this->Disconnected = this->Disconnected || (this->IsConnectionClosed &&
                                                this->IsConnectionClosed());
    return this->Disconnected;
  }
};

/// A response with a JSON body.
HttpResponse jsonResponse(http::status Status, const Json::Value &Body);

/// A response with a problem details body (RFC 9457).
HttpResponse problemResponse(http::status Status, const std::string &Title,
                             const std::string &Detail);

/// Value of header \p Name; empty when absent.
std::string headerValue(const http::fields &Fields, std::string_view Name);

/// Unsigned number in header \p Name; std::nullopt when absent or not a number.
std::optional<std::uint64_t> numericHeaderValue(const http::fields &Fields,
                                                std::string_view Name);

/// Whether the body of the message is coded in chunks or not at all, so that it
/// can be read and its end is known.
bool hasKnownTransferCoding(const http::fields &Fields);

/// Path of a request target, without its query.
std::string targetPath(std::string_view Target);

/// Value of query parameter \p Name; std::nullopt when absent.
std::optional<std::string> queryParameter(std::string_view Target,
                                          std::string_view Name);

} // namespace hemlockspar
