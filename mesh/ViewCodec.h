#pragma once

#include "mesh/MeshView.h"
#include "net/Http.h"

namespace hemlockspar {

/// What daemons tell each other of the tables that all follow: a part of one's
/// view, as rows.
namespace viewcodec {

/// A call that asks for all rows after \p Known.
HttpRequest makePullRequest(const ViewVersions &Known);

/// What such a call asks for; nothing when \p Request is another.
std::optional<ViewVersions> parsePullRequest(const HttpRequest &Request);

/// A call that tells \p Rows.
HttpRequest makePushRequest(const std::vector<StoreRows> &Rows);

/// Whether \p Request is such a call.
bool isPushRequest(const HttpRequest &Request);

std::string encodeRows(const std::vector<StoreRows> &Rows);

/// Nothing when \p Text is not sound.
std::optional<std::vector<StoreRows>> decodeRows(const std::string &Text);

} // namespace viewcodec

} // namespace hemlockspar
