#include <filbertmount/routes/routesetdelta.h>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

namespace Filbertmount {

namespace {

/** The items of a list by name. */
template<class Item>
auto byName(const std::vector<Item> &list)
{
    absl::flat_hash_map<decltype(Item::name), const Item *> items;
    items.reserve(list.size());
    for (const Item &item : list) {
        items.emplace(item.name, &item);
    }
    return items;
}

template<class Item>
bool hasUniqueNames(const std::vector<Item> &list)
{
    return byName(list).size() == list.size();
}

/** Adds the items of @p to that are new or changed to @p changed, and the names of those that it lacks to @p removed. */
template<class Item, class Name>
void compare(const std::vector<Item> &from, const std::vector<Item> &to, std::vector<Item> &changed, std::vector<Name> &removed)
{
    const auto before = byName(from);
    const auto after = byName(to);
    for (const Item &item : to) {
        const auto known = before.find(item.name);
        if (known == before.end() || *known->second != item) {
            changed.push_back(item);
        }
    }
    for (const Item &item : from) {
        if (!after.contains(item.name)) {
            removed.push_back(item.name);
        }
    }
}

template<class Item, class Name>
std::vector<Item> merge(const std::vector<Item> &from, const std::vector<Item> &changed, const std::vector<Name> &removed)
{
    const auto replaced = byName(changed);
    const absl::flat_hash_set<Name> dropped(removed.begin(), removed.end());
    std::vector<Item> result;
    for (const Item &item : from) {
        if (!replaced.contains(item.name) && !dropped.contains(item.name)) {
            result.push_back(item);
        }
    }
    result.insert(result.end(), changed.begin(), changed.end());
    return result;
}

} // namespace

std::optional<RouteSetDelta> computeDelta(const RouteSet &from, const RouteSet &to)
{
    const bool hasNames =
        hasUniqueNames(from.routes) && hasUniqueNames(to.routes) && hasUniqueNames(from.accounts) && hasUniqueNames(to.accounts);
    if (!hasNames || from.requiresKey != to.requiresKey) {
        return std::nullopt;
    }
    RouteSetDelta delta{.base = from.version,
                        .changes = {.version = to.version,
                                    .routes = {},
                                    .services = to.services,
                                    .limits = to.limits,
                                    .requiresKey = to.requiresKey},
                        .removed = {}};
    compare(from.routes, to.routes, delta.changes.routes, delta.removed);
    compare(from.accounts, to.accounts, delta.changes.accounts, delta.removedAccounts);
    return delta;
}

std::optional<RouteSet> applyDelta(const RouteSet &from, const RouteSetDelta &delta)
{
    if (from.version != delta.base || from.requiresKey != delta.changes.requiresKey) {
        return std::nullopt;
    }
    return RouteSet{.version = delta.changes.version,
                    .routes = merge(from.routes, delta.changes.routes, delta.removed),
                    .services = delta.changes.services,
                    .limits = delta.changes.limits,
                    .requiresKey = delta.changes.requiresKey,
                    .accounts = merge(from.accounts, delta.changes.accounts, delta.removedAccounts)};
}

} // namespace Filbertmount
