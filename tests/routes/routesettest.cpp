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

// Weights of 1,800,000,000 and 200,000,000 kept each process busy for seconds at the first request: it took a step for each unit.
TEST_CASE("split selector: only the proportions of the weights count, however large or small they are")
{
    const struct {
        const char *name;
        double scale;
    } rows[] = {
        {"billions", 2e8}, {"beyond 64 bits", 1e30}, {"near the largest double", 1e307}, {"fractions", 0.01}, {"tiny", 1e-300}};
    for (const auto &row : rows) {
        CAPTURE(row.name);
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            CAPTURE(seed);
            ForwardRoute usual = route("split", "h", "/");
            usual.targets = {{.service = ServiceName("a"), .weight = 8},
                             {.service = ServiceName("b"), .weight = 4},
                             {.service = ServiceName("c"), .weight = 1}};
            ForwardRoute scaled = usual;
            for (ForwardTarget &target : scaled.targets) {
                target.weight *= row.scale;
            }
            SplitSelector usualSelector(seed);
            SplitSelector scaledSelector(seed);
            std::map<std::string, int> counts;
            int differences = 0;
            for (int request = 0; request < 130; ++request) {
                const std::string &service = scaledSelector.next(scaled).value();
                differences += service == usualSelector.next(usual).value() ? 0 : 1;
                ++counts[service];
            }
            // The scaled weights are rounded, so that a choice may come one request earlier or later.
            CHECK(differences <= 2);
            CHECK(std::abs(counts["a"] - 80) <= 1);
            CHECK(std::abs(counts["b"] - 40) <= 2);
            CHECK(std::abs(counts["c"] - 10) <= 2);
        }
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
