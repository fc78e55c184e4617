#pragma once

#include "mesh/Attempt.h"

namespace hemlockspar {

/// Encodes and decodes the single header in which daemons exchange the
/// parameters and the result of a forwarded request. It is kept short, since
/// inter-region traffic is billed by the byte.
namespace hop {

/// Adds \p Context to a request; times are encoded relative to \p Now.
void writeContext(HttpRequest &Request, const AttemptContext &Context,
                  TimePoint Now);

/// Whether \p Request is a caller's request or its admission, forwarded by
/// another daemon, as opposed to a call of that daemon itself.
bool isForwarded(const HttpRequest &Request);

/// Removes the header from a request and decodes it; empty when it is missing
/// or malformed. The request ID is not part of it.
std::optional<AttemptContext> takeContext(HttpRequest &Request, TimePoint Now);

/// Makes the response that reports \p Result to another daemon.
HttpResponse writeResult(AttemptResult Result);

/// Decodes such a response; a failure without a valid header has the outcome
/// Unknown.
AttemptResult takeResult(HttpResponse Response);

/// Makes the request that asks a daemon to admit a body of \p Bytes, before it
/// is sent in a request with \p Context.
HttpRequest makeAdmissionRequest(const AttemptContext &Context,
                                 std::uint64_t Bytes, TimePoint Now);

/// The size of the body when \p Request asks for its admission; nothing
/// otherwise.
std::optional<std::uint64_t> parseAdmissionRequest(const HttpRequest &Request);

/// Removes the header from callers' requests.
void erase(http::fields &Fields);

} // namespace hop

} // namespace hemlockspar
