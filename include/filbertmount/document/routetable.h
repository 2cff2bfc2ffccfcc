#pragma once

#include <filbertmount/document/servicedocument.h>

#include <string>
#include <string_view>
#include <vector>

namespace Filbertmount {

/** Result of a route lookup. */
struct RouteMatch {
    /** First route that matches; null if none does. Valid as long as the table. */
    const Route *route = nullptr;
    /**
     * Whether the request may be run more than once. False if upstreams may interpret the path differently, for example
     * because of an encoded slash: the upstream could run an operation of another route that is not repeatable.
     */
    bool repeatable = false;
    /** Value of the Allow header: methods of the routes that match the path. Set only if no route has the method (405). */
    std::string allowedMethods;
};

/** Finds the route of a request. Thread-safe, because it is immutable. */
class RouteTable
{
public:
    explicit RouteTable(std::vector<Route> routes);

    /**
     * @param method as received
     * @param target request target in origin form; the query is ignored
     */
    [[nodiscard]] RouteMatch find(std::string_view method, std::string_view target) const;

private:
    struct Entry {
        Route route;
        std::vector<std::string> segments;
    };

    std::vector<Entry> m_entries;
};

} // namespace Filbertmount
