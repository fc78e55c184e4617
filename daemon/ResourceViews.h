#pragma once

#include "coordination/Member.h"
#include "daemon/Resources.h"

namespace hemlockspar {

/// All declared resources of \p Kind, as a JSON list.
Json::Value resourcesView(const Member &Self, ResourceKind Kind);

/// All known instances, as a JSON list.
Json::Value instancesView(const Member &Self);

/// For each key space, its slots by owner, as a JSON list.
Json::Value ownershipView(const Member &Self);

/// Owner of \p Key, as a JSON object; std::nullopt when the key space is not
/// declared.
std::optional<Json::Value> keyOwnerView(const Member &Self,
                                        const std::string &Keyspace,
                                        const std::string &Key);

} // namespace hemlockspar
