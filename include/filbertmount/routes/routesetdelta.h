#pragma once

#include <filbertmount/routes/routeset.h>

#include <optional>
#include <string>
#include <vector>

namespace Filbertmount {

/** What turns one version of the routes into a later one; much smaller than either when the fleet has many routes. */
struct RouteSetDelta {
    RouteSetVersion base;
    /** The later version, with the routes that are new or changed only. */
    RouteSet changes;
    /** Names of the routes that the later version does not have. */
    std::vector<std::string> removed;
};

/** Returns nothing when the routes of either version cannot be told apart by their names. */
std::optional<RouteSetDelta> computeDelta(const RouteSet &from, const RouteSet &to);

/** Returns the later version; nothing when @p from is not the version that @p delta starts from. */
std::optional<RouteSet> applyDelta(const RouteSet &from, const RouteSetDelta &delta);

} // namespace Filbertmount
