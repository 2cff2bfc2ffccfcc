#include "objectvalues.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <limits>
#include <optional>

using namespace Filbertmount;
using namespace std::chrono_literals;

namespace {

using Json = nlohmann::json;

Json configuration()
{
    return Json::parse(R"({"spec":{"version":"0000000c",
        "routes":{"columns":["name","host","path_prefix","kind","timeout_s","target_latency_s","priority","traffic_split","max_attempts",
                             "service","auth_exempt"],
                  "rows":[["first","h","/a/","safe",1,0.5,1,null,2,"x",null],["second","h","/b/","safe",2,0.5,3,null,2,"y",null]]},
        "services":{"columns":["name","health_check_path","max_connections"],"rows":[["x","/health",220],["y","/health",220]]},
        "limits":{"max_header_bytes":16384,"max_body_bytes":1000,"header_timeout_s":3,"idle_timeout_s":15}}})");
}

ForwardRoute secondRoute()
{
    return {.name = "second",
            .host = "h",
            .pathPrefix = "/b/",
            .isRepeatable = true,
            .timeout = 2s,
            .latencyObjective = 500ms,
            .rank = 3,
            .maxAttempts = 2,
            .targets = {{.service = ServiceName("y"), .weight = 1}}};
}

/** Returns secondRoute() with a change. */
template<class Change>
ForwardRoute secondRouteWith(Change change)
{
    ForwardRoute route = secondRoute();
    change(route);
    return route;
}

ForwardRoute splitRoute(std::vector<ForwardTarget> targets)
{
    return secondRouteWith([&](ForwardRoute &route) {
        route.targets = std::move(targets);
    });
}

const ServiceName X("x");
const ServiceName Y("y");

} // namespace

// Weights of 0.9 and 0.1, a priority of 1.0 or a limit of 67108864.0 kept the whole version out of force.
TEST_CASE("configuration: what is odd in a route spoils that alone")
{
    constexpr std::size_t name = 0;
    constexpr std::size_t host = 1;
    constexpr std::size_t prefix = 2;
    constexpr std::size_t kind = 3;
    constexpr std::size_t timeout = 4;
    constexpr std::size_t priority = 6;
    constexpr std::size_t split = 7;
    constexpr std::size_t attempts = 8;
    constexpr std::size_t service = 9;
    constexpr std::size_t exempt = 10;
    const auto part = [](const Json &serviceName, const Json &weight) {
        return Json{{"service", serviceName}, {"weight", weight}};
    };
    const auto rank = [](int value) {
        return secondRouteWith([value](ForwardRoute &route) {
            route.rank = value;
        });
    };
    const auto mostAttempts = [](int value) {
        return secondRouteWith([value](ForwardRoute &route) {
            route.maxAttempts = value;
        });
    };
    struct Row {
        const char *what;
        std::size_t column;
        Json value;
        /** The second route; nothing if it is left out. */
        std::optional<ForwardRoute> route;
        bool isDefect;
    };
    const Row rows[] = {
        {"fractional weights", split, {part("x", 0.9), part("y", 0.1)}, splitRoute({{X, 0.9}, {Y, 0.1}}), false},
        {"whole weights as fractions", split, {part("x", 90.0), part("y", 10.0)}, splitRoute({{X, 90}, {Y, 10}}), false},
        {"weights above 64 bits", split, {part("x", 9e30), part("y", 1e30)}, splitRoute({{X, 9e30}, {Y, 1e30}}), false},
        {"a weight of 0", split, {part("x", 0), part("y", 1)}, splitRoute({{Y, 1}}), false},
        {"a weight that is a text", split, {part("x", "9"), part("y", 1)}, splitRoute({{Y, 1}}), true},
        {"a part without a service", split, {part(nullptr, 9), part("y", 1)}, splitRoute({{Y, 1}}), true},
        {"a part that is a text", split, Json::array({"x", part("y", 1)}), splitRoute({{Y, 1}}), true},
        {"no weight above 0", split, {part("x", 0), part("y", 0)}, splitRoute({{X, 1}, {Y, 1}}), true},
        {"an empty split", split, Json::array(), secondRoute(), false},
        {"a split that is a text", split, "x", secondRoute(), false},
        {"no service", service, nullptr, splitRoute({{ServiceName(), 1}}), true},
        {"priority 1.0", priority, 1.0, rank(1), false},
        {"priority above 32 bits", priority, 99'999'999'999, rank(std::numeric_limits<int>::max()), false},
        {"a priority that is a text", priority, "1", rank(0), true},
        {"max_attempts 3.0", attempts, 3.0, mostAttempts(3), false},
        {"max_attempts 0", attempts, 0, mostAttempts(1), false},
        {"max_attempts above 64 bits", attempts, 1e30, mostAttempts(std::numeric_limits<int>::max()), false},
        {"a kind of a later version",
         kind,
         "stream",
         secondRouteWith([](ForwardRoute &route) {
             route.isRepeatable = false;
         }),
         false},
        {"a kind that is a number",
         kind,
         3,
         secondRouteWith([](ForwardRoute &route) {
             route.isRepeatable = false;
         }),
         true},
        {"no timeout",
         timeout,
         nullptr,
         secondRouteWith([](ForwardRoute &route) {
             route.timeout = 30s;
         }),
         false},
        {"a negative timeout",
         timeout,
         -1,
         secondRouteWith([](ForwardRoute &route) {
             route.timeout = 30s;
         }),
         true},
        {"a flag that is a text", exempt, "yes", secondRoute(), true},
        {"no name",
         name,
         nullptr,
         secondRouteWith([](ForwardRoute &route) {
             route.name = "h/b/";
         }),
         false},
        {"no host", host, nullptr, std::nullopt, true},
        {"a prefix that is a number", prefix, 4, std::nullopt, true},
    };
    const auto expected = std::get<RouteSet>(Platform::parseRouteSet(configuration()));
    REQUIRE(expected.routes[1] == secondRoute());
    for (const Row &row : rows) {
        CAPTURE(row.what);
        Json object = configuration();
        object["spec"]["routes"]["rows"][1][row.column] = row.value;
        const StateValue value = Platform::parseRouteSet(object);
        REQUIRE(std::holds_alternative<RouteSet>(value));
        const auto &routes = std::get<RouteSet>(value);
        CHECK(routes.version == RouteSetVersion(12));
        REQUIRE(routes.routes.size() == (row.route ? 2 : 1));
        CHECK(routes.routes[0] == expected.routes[0]);
        CHECK((!row.route || routes.routes[1] == *row.route));
        CHECK(routes.services.size() == 2);
        CHECK(routes.defects.size() == (row.isDefect ? 1 : 0));
    }
}

TEST_CASE("configuration: what is odd in the services, the limits or the form of a table spoils that alone")
{
    const auto hasBothRoutes = [](const RouteSet &routes) {
        return routes.routes.size() == 2 && routes.version == RouteSetVersion(12);
    };
    const struct {
        const char *what;
        const char *place;
        Json value;
        std::function<bool(const RouteSet &)> holds;
    } rows[] = {
        {"a limit as a fraction",
         "/spec/limits/max_body_bytes",
         67108864.0,
         [](const RouteSet &routes) {
             return routes.limits.maxBodyBytes == 67108864 && routes.defects.empty();
         }},
        {"a limit above 32 bits",
         "/spec/limits/max_header_bytes",
         1e12,
         [](const RouteSet &routes) {
             return routes.limits.maxHeaderBytes == std::numeric_limits<std::uint32_t>::max();
         }},
        {"a limit that is a text",
         "/spec/limits/header_timeout_s",
         "3",
         [](const RouteSet &routes) {
             return routes.limits.headerTimeout == CallerLimits().headerTimeout && routes.limits.idleTimeout == 15s;
         }},
        {"limits that are a list",
         "/spec/limits",
         Json::array(),
         [](const RouteSet &routes) {
             return routes.limits.idleTimeout == CallerLimits().idleTimeout;
         }},
        {"an empty path of health checks",
         "/spec/services/rows/0/1",
         "",
         [](const RouteSet &routes) {
             return routes.services[0].healthPath.empty() && routes.services.size() == 2;
         }},
        {"connections as a fraction",
         "/spec/services/rows/0/2",
         220.0,
         [](const RouteSet &routes) {
             return routes.services[0].maxConnections == 220 && routes.defects.empty();
         }},
        {"a service without a name",
         "/spec/services/rows/0/0",
         nullptr,
         [](const RouteSet &routes) {
             return routes.services.size() == 1 && routes.services[0].name == Y;
         }},
        {"no services",
         "/spec/services",
         nullptr,
         [](const RouteSet &routes) {
             return routes.services.empty();
         }},
        {"a row that is a text",
         "/spec/services/rows/1",
         "y",
         [](const RouteSet &routes) {
             return routes.services.size() == 1;
         }},
        {"a row that is too short",
         "/spec/services/rows/1",
         Json::array({"y"}),
         [](const RouteSet &routes) {
             return routes.services.size() == 2 && routes.services[1].maxConnections == 0;
         }},
        {"a row that is too long",
         "/spec/services/rows/1",
         {"y", "/health", 220, "more"},
         [](const RouteSet &routes) {
             return routes.services.size() == 2 && routes.services[1].maxConnections == 220;
         }},
        {"a column without a name",
         "/spec/services/columns/1",
         7,
         [](const RouteSet &routes) {
             return routes.services[0].healthPath.empty() && routes.services[0].maxConnections == 220;
         }},
    };
    for (const auto &row : rows) {
        CAPTURE(row.what);
        Json object = configuration();
        object[Json::json_pointer(row.place)] = row.value;
        const StateValue value = Platform::parseRouteSet(object);
        REQUIRE(std::holds_alternative<RouteSet>(value));
        CHECK(hasBothRoutes(std::get<RouteSet>(value)));
        CHECK(row.holds(std::get<RouteSet>(value)));
    }
}

TEST_CASE("configuration: without a version or a table of routes it is malformed")
{
    for (const char *place : {"/spec/version", "/spec/routes", "/spec/routes/columns", "/spec/routes/rows", "/spec"}) {
        CAPTURE(place);
        Json object = configuration();
        object[Json::json_pointer(place)] = nullptr;
        CHECK(std::holds_alternative<MalformedObject>(Platform::parseRouteSet(object)));
    }
}
