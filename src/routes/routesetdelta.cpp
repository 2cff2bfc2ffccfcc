#include <filbertmount/routes/routesetdelta.h>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

namespace Filbertmount {

namespace {

using RoutesByName = absl::flat_hash_map<std::string_view, const ForwardRoute *>;

RoutesByName byName(const RouteSet &set)
{
    RoutesByName routes;
    for (const ForwardRoute &route : set.routes) {
        routes.emplace(route.name, &route);
    }
    return routes;
}

} // namespace

std::optional<RouteSetDelta> computeDelta(const RouteSet &from, const RouteSet &to)
{
    const RoutesByName before = byName(from);
    const RoutesByName after = byName(to);
    if (before.size() != from.routes.size() || after.size() != to.routes.size()) {
        return std::nullopt;
    }
    RouteSetDelta delta{.base = from.version,
                        .changes = {.version = to.version, .routes = {}, .services = to.services, .limits = to.limits},
                        .removed = {}};
    for (const ForwardRoute &route : to.routes) {
        const auto known = before.find(route.name);
        if (known == before.end() || *known->second != route) {
            delta.changes.routes.push_back(route);
        }
    }
    for (const ForwardRoute &route : from.routes) {
        if (!after.contains(route.name)) {
            delta.removed.push_back(route.name);
        }
    }
    return delta;
}

std::optional<RouteSet> applyDelta(const RouteSet &from, const RouteSetDelta &delta)
{
    if (from.version != delta.base) {
        return std::nullopt;
    }
    const RoutesByName changed = byName(delta.changes);
    const absl::flat_hash_set<std::string_view> removed(delta.removed.begin(), delta.removed.end());
    RouteSet result{
        .version = delta.changes.version, .routes = {}, .services = delta.changes.services, .limits = delta.changes.limits};
    for (const ForwardRoute &route : from.routes) {
        if (!changed.contains(route.name) && !removed.contains(route.name)) {
            result.routes.push_back(route);
        }
    }
    result.routes.insert(result.routes.end(), delta.changes.routes.begin(), delta.changes.routes.end());
    return result;
}

} // namespace Filbertmount
