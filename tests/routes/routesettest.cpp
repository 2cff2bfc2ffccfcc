#include <filbertmount/routes/routeset.h>
#include <filbertmount/routes/splitselector.h>

#include <doctest/doctest.h>

#include <cmath>
#include <map>

using namespace Filbertmount;

namespace {

ForwardRoute route(const std::string &name, const std::string &host, const std::string &prefix)
{
    return {.name = name, .host = host, .pathPrefix = prefix, .targets = {{.service = ServiceName("s"), .weight = 1}}};
}

} // namespace

TEST_CASE("route index: the host and the longest prefix select the route")
{
    const RouteIndex index({.version = RouteSetVersion(1),
                            .routes = {route("short", "shop.example", "/a/"),
                                       route("long", "shop.example", "/a/b/"),
                                       route("other", "bench.example", "/a/")}});
    struct Row {
        const char *host;
        const char *target;
        const char *expected;
    };
    for (const Row &row : {Row{"shop.example", "/a/1", "short"},
                           Row{"shop.example", "/a/b/1", "long"},
                           Row{"SHOP.example:8080", "/a/b/?q=/x/", "long"},
                           Row{"shop.example", "/a/b", "short"},
                           Row{"bench.example", "/a/b/1", "other"},
                           Row{"shop.example", "/a", ""},
                           Row{"shop.example", "/c?x=/a/", ""},
                           Row{"unknown.example", "/a/1", ""}}) {
        CAPTURE(row.host);
        CAPTURE(row.target);
        const ForwardRoute *found = index.find(row.host, row.target);
        CHECK((found == nullptr ? std::string() : found->name) == row.expected);
    }
}

TEST_CASE("split selector: each run of requests is close to the weights, independent of the start")
{
    ForwardRoute split = route("split", "h", "/");
    split.targets = {{.service = ServiceName("a"), .weight = 90}, {.service = ServiceName("b"), .weight = 10}};
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        SplitSelector selector(seed);
        std::map<std::string, int> counts;
        for (int request = 0; request < 100; ++request) {
            ++counts[selector.next(split).value()];
        }
        CHECK(std::abs(counts["b"] - 10) <= 1);
    }
}

TEST_CASE("split selector: many instances with few requests each do not all prefer the heavier target")
{
    ForwardRoute split = route("split", "h", "/");
    split.targets = {{.service = ServiceName("a"), .weight = 90}, {.service = ServiceName("b"), .weight = 10}};
    int toLighter = 0;
    constexpr int instances = 400;
    for (std::uint64_t seed = 1; seed <= instances; ++seed) {
        SplitSelector selector(seed);
        toLighter += selector.next(split).value() == "b" ? 1 : 0;
    }
    // A share may deviate from the weight by 0.1.
    CHECK(std::abs(static_cast<double>(toLighter) / instances - 0.1) < 0.1);
}
