#pragma once

#include "mesh/Configuration.h"

#include <set>

namespace hemlockspar {

/// Whether requests of \p Selected may be served, and their bodies stored, in
/// \p Region. Performs no I/O.
bool isHomeRegion(const Route &Selected, const std::string &Region);

/// Whether \p Active still allows requests of the route \p RouteName to be
/// served in \p Region. A route that \p Active does not declare restricts
/// nothing: the configuration under which the request arrived does.
bool isHomeRegion(const Configuration &Active, const std::string &RouteName,
                  const std::string &Region);

/// The regions in which keys of \p Service may be owned, so that requests of
/// all routes to it can be served: the regions that are homes of every route to
/// the service that has homes. Nothing when no route to it has homes.
std::optional<std::set<std::string>>
allowedKeyRegions(const Configuration &Active, const std::string &Service);

} // namespace hemlockspar
