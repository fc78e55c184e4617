#pragma once

#include "mesh/Attempt.h"

namespace hemlockspar {

/// The one header in which daemons tell each other of a request, and of what
/// came of it. Kept short: bytes between regions are paid for.
namespace hop {

/// Puts \p Terms on a request; times are counted from \p Now.
void writeContext(HttpRequest &Request, const AttemptContext &Terms,
                  TimePoint Now);

/// Takes the terms off a request; nothing when there are none or they cannot
/// be read. The request's own id is not among them.
std::optional<AttemptContext> takeContext(HttpRequest &Request, TimePoint Now);

/// The answer that tells another daemon of \p Result.
HttpResponse writeResult(AttemptResult Result);

/// Reads such an answer; a failure that says nothing is taken for unknown.
AttemptResult takeResult(HttpResponse Response);

/// Removes the header from what callers send.
void erase(http::fields &Fields);

} // namespace hop

} // namespace hemlockspar
