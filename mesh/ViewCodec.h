#pragma once

#include "mesh/MeshView.h"
#include "net/Http.h"

namespace hemlockspar {

/// Encoding of the requests by which daemons exchange parts of their views, as
/// rows of the shared tables.
namespace viewcodec {

/// A request for all rows after \p Known.
HttpRequest makePullRequest(const ViewVersions &Known);

/// The versions that a pull request states; nothing when \p Request is not one.
std::optional<ViewVersions> parsePullRequest(const HttpRequest &Request);

/// A request that delivers \p Rows.
HttpRequest makePushRequest(const std::vector<StoreRows> &Rows);

/// Whether \p Request is a push request.
bool isPushRequest(const HttpRequest &Request);

std::string encodeRows(const std::vector<StoreRows> &Rows);

/// Nothing when \p Text is malformed.
std::optional<std::vector<StoreRows>> decodeRows(const std::string &Text);

} // namespace viewcodec

} // namespace hemlockspar
