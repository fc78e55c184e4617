#pragma once

#include "mesh/ServerReport.h"
#include "net/Http.h"

namespace hemlockspar {

/// Parameters that a caller gives in the headers of a request.
struct CallerHeaders {
  /// Identifies one attempt of the caller.
  std::string RequestId;

  /// How long the caller waits; empty when not stated.
  std::optional<Duration> Timeout;

  /// Set for services with key ownership.
  std::optional<KeyNumber> Key;
};

/// Parameters that are passed to a backend server with a request.
struct ServerHeaders {
  /// How long a response is useful.
  Duration TimeLeft{};

  /// Backend server that is to run the request; any other server at the same
  /// address must not run it.
  std::string ServerId;

  /// The service on the machine where the request originated.
  std::string CallerService;
};

/// Whether a backend server ran the request, according to its response.
enum class ServerVerdict {
  Ran,
  /// It did not run and never will.
  NotRun,
  /// It did not run, since another backend server has the address or the server
  /// does not hold the key.
  WrongServer,
};

const char *nameOf(ServerVerdict Verdict);

/// The parts of a backend server's response that the request path evaluates.
struct ServerAnswer {
  ServerVerdict Verdict = ServerVerdict::Ran;

  /// ID of the request that it responds to; empty when not stated.
  std::string RequestId;

  /// How long work takes on the server's machine now, 1 being as usual; empty
  /// when not stated.
  std::optional<double> Pace;

  /// Whether the response is complete and plausibly from the backend server
  /// itself.
  bool Credible = false;
};

/// The parts of a response of the health path that are evaluated.
struct HealthAnswer {
  /// Empty when not stated.
  std::string ServerId;

  /// How long the server stays cold; empty when not stated.
  std::optional<Duration> ColdLeft;
};

/// Reads and writes the HTTP headers of callers and backend servers. No other
/// code depends on these headers.
class RequestHeaderCodec {
public:
  virtual ~RequestHeaderCodec() = default;

  virtual CallerHeaders readCallerHeaders(const HttpRequest &Request) const = 0;

  /// Sets the headers that a backend server expects.
  virtual void setServerHeaders(HttpRequest &Request,
                                const ServerHeaders &Headers) const = 0;

  virtual ServerAnswer readAnswer(const HttpResponse &Response) const = 0;

  /// Reads the response of a backend server's health path.
  virtual HealthAnswer readHealth(const HttpResponse &Response) const = 0;

  /// Marks a response made by this daemon as the response to \p RequestId and
  /// sets the time to retry when \p RetryAfter is given.
  virtual void
  setLocalAnswerHeaders(HttpResponse &Response, const std::string &RequestId,
                        std::optional<Duration> RetryAfter) const = 0;
};

} // namespace hemlockspar
