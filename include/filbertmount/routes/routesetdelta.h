#pragma once

#include <filbertmount/routes/routeset.h>

#include <optional>
#include <string>
#include <vector>

namespace Filbertmount {

/** The difference between two versions of a route set; much smaller than either when few of many routes changed. */
struct RouteSetDelta {
    /** The version to which the difference applies. */
    RouteSetVersion base;
    /** The later version, with only the routes and accounts that are new or changed. */
    RouteSet changes;
    /** Names of the routes that the later version no longer contains. */
    std::vector<std::string> removed;
    /** The same for accounts. */
    std::vector<AccountName> removedAccounts = {};
};

/**
 * Returns the difference between two versions; nothing when either contains two routes or accounts with the same name, or when
 * only one of them requires API keys.
 */
std::optional<RouteSetDelta> computeDelta(const RouteSet &from, const RouteSet &to);

/**
 * Returns the later version; nothing when @p from is not the base version of @p delta. A base that was received through an
 * instance of a program version without accounts has none, so nothing is returned either if only one of both requires API keys.
 */
std::optional<RouteSet> applyDelta(const RouteSet &from, const RouteSetDelta &delta);

} // namespace Filbertmount
