#pragma once

#include "mesh/ServerReport.h"
#include "net/Http.h"

namespace hemlockspar {

/// What a caller says of its request.
struct CallerHeaders {
  /// Names one attempt of the caller.
  std::string RequestId;

  /// How long the caller waits; nothing when it does not say.
  std::optional<Duration> Timeout;

  /// Set for services whose keys are owned.
  std::optional<KeyNumber> Key;
};

/// What a backend server is told with a request.
struct ServerHeaders {
  /// How long the answer is of use.
  Duration TimeLeft{};

  /// Another backend server at the same address must not run the request.
  std::string ServerId;

  /// The service of the machine where the request began.
  std::string CallerService;
};

/// What a backend server's answer says of the request.
enum class ServerVerdict {
  /// It ran.
  Ran,
  /// It did not run and never will.
  NotRun,
  /// It did not run, since another backend server has the address or the key
  /// is not held.
  WrongServer,
};

/// Name of \p Verdict for logs.
const char *nameOf(ServerVerdict Verdict);

/// An answer of a backend server as far as the request path reads it.
struct ServerAnswer {
  ServerVerdict Verdict = ServerVerdict::Ran;

  /// Of the request that it answers; empty when it does not say.
  std::string RequestId;

  /// Whether the answer can be the backend server's own and whole.
  bool Credible = false;
};

/// The headers that callers and backend servers use; read and written here
/// only.
class RequestHeaderCodec {
public:
  virtual ~RequestHeaderCodec() = default;

  virtual CallerHeaders readCallerHeaders(const HttpRequest &Request) const = 0;

  /// Sets the headers that a backend server expects.
  virtual void setServerHeaders(HttpRequest &Request,
                                const ServerHeaders &Terms) const = 0;

  virtual ServerAnswer readAnswer(const HttpResponse &Response) const = 0;

  /// Marks an answer of our own as the one to \p RequestId, and, when
  /// \p RetryAfter is set, says when to come back.
  virtual void
  setLocalAnswerHeaders(HttpResponse &Response, const std::string &RequestId,
                        std::optional<Duration> RetryAfter) const = 0;
};

} // namespace hemlockspar
