#include <filbertmount/edge/routesizes.h>

#include <doctest/doctest.h>

using namespace Filbertmount;

// Guards against one large response that keeps a route of small requests in its zone, and against sizes of removed routes.
TEST_CASE("route sizes: follow the usual size of each route")
{
    RouteSizes sizes;
    CHECK(sizes.expectedBytes("lookup") == 0);
    for (int exchange = 0; exchange < 50; ++exchange) {
        sizes.record("lookup", 400);
        sizes.record("download", 90'000);
    }
    CHECK(sizes.expectedBytes("lookup") == 400);
    CHECK(sizes.expectedBytes("download") == 90'000);
    sizes.record("lookup", 16'400);
    CHECK(sizes.expectedBytes("lookup") == 1400);
    RouteSet routes;
    routes.routes.push_back({.name = "lookup"});
    sizes.retain(routes);
    CHECK(sizes.expectedBytes("download") == 0);
    CHECK(sizes.expectedBytes("lookup") == 1400);
}
