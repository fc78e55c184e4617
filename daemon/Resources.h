#pragma once

#include "coordination/RowCache.h"

#include <absl/status/status.h>
#include <json/value.h>
#include <vector>

namespace hemlockspar {

/// Kinds of resources that operators declare.
enum class ResourceKind { Service, Keyspace, Policy };

/// Plural name of \p Kind, as in paths and rows.
const char *nameOf(ResourceKind Kind);
std::optional<ResourceKind> resourceKindOf(const std::string &Name);

/// Key of the row that holds a declared resource.
std::string resourceKey(ResourceKind Kind, const std::string &Name);

/// A declared resource with the version at which it was last written.
struct Resource {
  ResourceKind Kind = ResourceKind::Service;
  std::string Name;
  RowVersion Version = 0;
  Json::Value Spec;

  /// Ids of the latest requests that wrote the resource, newest last. They tell
  /// whether a write took effect whose response was lost.
  std::vector<std::string> RequestIds;

  Json::Value toJson() const;
  std::string toRowText() const;

  /// Parses the row of a declared resource; std::nullopt for other rows.
  static std::optional<Resource> fromRow(const TableRow &Row);
};

/// Reads the declared resource \p Name into \p Found; false when there is
/// none.
bool findResource(const RowCache &Cache, ResourceKind Kind,
                  const std::string &Name, Resource &Found);

/// Validates a declaration; returns one message for each invalid field.
std::vector<std::string> validateSpec(ResourceKind Kind,
                                      const std::string &Name,
                                      const Json::Value &Spec);

} // namespace hemlockspar
