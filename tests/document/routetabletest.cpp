#include <filbertmount/document/routetable.h>

#include <doctest/doctest.h>

using namespace Filbertmount;

namespace {

RouteTable shopRoutes()
{
    return RouteTable({{.method = "POST", .path = "/orders"},
                       {.method = "GET", .path = "/orders/*/lines", .repeatable = true},
                       {.method = "POST", .path = "/payments/**"},
                       {.method = "*", .path = "/read/**", .repeatable = true},
                       {.method = "GET", .path = "/", .repeatable = true}});
}

struct RouteCase {
    const char *method;
    const char *target;
    /** Pattern of the expected route; null for none. */
    const char *pattern;
    bool repeatable;
    const char *allowed;
};

} // namespace

// Guards against a request that is not repeatable being routed as repeatable because its path is spelled in another way.
TEST_CASE("route table")
{
    const RouteTable table = shopRoutes();
    const std::vector<RouteCase> cases{
        {"POST", "/orders", "/orders", false, ""},
        {"POST", "/orders?repeat=1", "/orders", false, ""},
        {"POST", "/orders/", "/orders", false, ""},
        {"POST", "/%6frders", "/orders", false, ""},
        {"POST", "//orders", "/orders", false, ""},
        {"POST", "/read/../orders", "/orders", false, ""},
        {"POST", "/read/%2e%2E/orders", "/orders", false, ""},
        {"GET", "/orders/7/lines", "/orders/*/lines", true, ""},
        {"GET", "/orders/a%20b/lines", "/orders/*/lines", true, ""},
        {"GET", "/orders/7/8/lines", nullptr, false, ""},
        {"POST", "/payments", "/payments/**", false, ""},
        {"POST", "/payments/1/2/3", "/payments/**", false, ""},
        {"DELETE", "/orders", nullptr, false, "POST"},
        {"PATCH", "/read/a/b", "/read/**", true, ""},
        {"POST", "/read/..%2forders", "/read/**", false, ""},
        {"POST", "/read//orders", "/read/**", false, ""},
        {"POST", "/read/a;x=1", "/read/**", false, ""},
        {"POST", "/read/%zz", "/read/**", false, ""},
        {"POST", "/read/%", "/read/**", false, ""},
        {"POST", "/read/a%00", "/read/**", false, ""},
        {"GET", "/", "/", true, ""},
        {"GET", "/?q=//", "/", true, ""},
        {"get", "/", nullptr, false, "GET"},
        {"GET", "/unknown", nullptr, false, ""},
        {"GET", "", "/", false, ""},
    };
    for (const RouteCase &expected : cases) {
        CAPTURE(expected.method);
        CAPTURE(expected.target);
        const RouteMatch match = table.find(expected.method, expected.target);
        REQUIRE((match.route != nullptr) == (expected.pattern != nullptr));
        CHECK((match.route == nullptr || match.route->path == expected.pattern));
        CHECK(match.repeatable == expected.repeatable);
        CHECK(match.allowedMethods == expected.allowed);
    }
}
