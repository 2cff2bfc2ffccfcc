#pragma once

#include <filbertmount/document/servicedocument.h>

#include <string>
#include <string_view>
#include <vector>

namespace Filbertmount {

/** The route of one request. */
struct RouteMatch {
    /** The first route that matches; null when none does. Valid as long as the table. */
    const Route *route = nullptr;
    /**
     * Whether the request may be run twice. False for a path that upstreams may read in more than one way, such as one
     * with an encoded slash: the upstream could take it for a path of a route that is not repeatable.
     */
    bool repeatable = false;
    /** Methods of the routes that match the path; set when only the method did not match (405), for Allow. */
    std::string allowedMethods;
};

/** Finds the route of a request. Immutable, so it can be used by several threads. */
class RouteTable
{
public:
    explicit RouteTable(std::vector<Route> routes);

    /**
     * @param method as received
     * @param target request target in origin form; the query is not looked at
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
