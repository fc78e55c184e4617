#pragma once

#include "mesh/CallGrants.h"
#include "net/HttpClient.h"

namespace hemlockspar {

/// Encodes calls that grant keys to a backend server and take them back, and
/// decodes the responses.
class GrantCodec {
public:
  virtual ~GrantCodec() = default;

  /// The call that grants \p Grant for \p HoldTime.
  virtual HttpRequest encodeGrant(const GrantedKeys &Grant,
                                  Duration HoldTime) const = 0;

  /// The call that takes back \p Grant.
  virtual HttpRequest encodeRelease(const GrantedKeys &Grant) const = 0;

  /// Outcome of a grant call that was answered with \p Response.
  virtual GrantOutcome decodeGrant(const HttpResponse &Response) const = 0;

  /// The state that the server leaves for the next owner of released keys, may
  /// be empty; nothing when \p Response does not confirm the release.
  virtual std::optional<std::string>
  decodeRelease(const HttpResponse &Response) const = 0;
};

} // namespace hemlockspar
