#include <filbertmount/routes/routesetdelta.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

using namespace Filbertmount;

namespace {

ForwardRoute route(std::size_t number, double weight = 1)
{
    return {.name = "r" + std::to_string(number),
            .host = "h",
            .pathPrefix = "/" + std::to_string(number) + "/",
            .targets = {{.service = ServiceName("s"), .weight = weight}}};
}

RouteSet routes(std::uint64_t version, std::size_t count)
{
    RouteSet set{.version = RouteSetVersion(version), .routes = {}, .services = {{.name = ServiceName("s")}}, .limits = {}};
    for (std::size_t number = 0; number < count; ++number) {
        set.routes.push_back(route(number));
    }
    return set;
}

std::vector<ForwardRoute> sorted(std::vector<ForwardRoute> list)
{
    std::sort(list.begin(), list.end(), [](const ForwardRoute &left, const ForwardRoute &right) {
        return left.name < right.name;
    });
    return list;
}

} // namespace

// In a fleet with many routes, a complete configuration takes over 100 KB per instance, which is too much to send when
// configurations follow in quick succession.
TEST_CASE("route set delta: the delta for a change of few routes among many is small")
{
    const RouteSet before = routes(7, 1800);
    RouteSet after = before;
    after.version = RouteSetVersion(9);
    after.routes[5] = route(5, 3);
    after.routes.erase(after.routes.begin() + 100);
    after.routes.push_back(route(5000));
    const RouteSetDelta delta = computeDelta(before, after).value();
    CHECK(delta.changes.routes.size() == 2);
    CHECK(delta.removed == std::vector<std::string>{"r100"});
}

TEST_CASE("route set delta: applying it to its base returns the later version, to any other version nothing")
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        const RouteSet before = routes(3, random() % 12);
        RouteSet after = routes(4, random() % 12);
        for (ForwardRoute &changed : after.routes) {
            changed.targets[0].weight = 1 + static_cast<int>(random() % 2);
        }
        const RouteSetDelta delta = computeDelta(before, after).value();
        const RouteSet result = applyDelta(before, delta).value();
        REQUIRE(result.version == after.version);
        REQUIRE(sorted(result.routes) == sorted(after.routes));
        REQUIRE_FALSE(applyDelta(after, delta).has_value());
    }
}

// Guards against a removed key that stays valid, and against accounts of two versions in one set.
TEST_CASE("route set delta: applying it returns exactly the accounts of the later version")
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        const auto accounts = [&random](std::uint64_t version) {
            RouteSet set{.version = RouteSetVersion(version), .requiresKey = true};
            for (int number = 0; number < 8; ++number) {
                if (random() % 3 > 0) {
                    set.accounts.push_back({.name = AccountName("a" + std::to_string(number)),
                                            .keyDigests = {sha256(std::to_string(random() % 3))},
                                            .rate = static_cast<double>(random() % 2)});
                }
            }
            return set;
        };
        const RouteSet before = accounts(3);
        const RouteSet after = accounts(4);
        const RouteSet result = applyDelta(before, computeDelta(before, after).value()).value();
        REQUIRE(accountsHash(result.accounts) == accountsHash(after.accounts));
        REQUIRE(result.accounts.size() == after.accounts.size());
        REQUIRE(result.requiresKey);
    }
}

// An instance of a program version without accounts passes a route set on without them. A delta applied to it would let only the
// changed accounts in.
TEST_CASE("route set delta: there is none between sets of which only one requires keys, or with two accounts of one name")
{
    const RouteSet open = routes(3, 2);
    RouteSet closed = routes(4, 2);
    closed.requiresKey = true;
    CHECK_FALSE(computeDelta(open, closed).has_value());
    CHECK_FALSE(computeDelta(closed, open).has_value());
    RouteSet next = closed;
    next.version = RouteSetVersion(5);
    RouteSet stripped = closed;
    stripped.requiresKey = false;
    CHECK_FALSE(applyDelta(stripped, computeDelta(closed, next).value()).has_value());
    next.accounts = {{.name = AccountName("a")}, {.name = AccountName("a")}};
    CHECK_FALSE(computeDelta(closed, next).has_value());
}

TEST_CASE("route set delta: there is none between sets that contain two routes with the same name")
{
    RouteSet twice = routes(3, 2);
    twice.routes[1].name = twice.routes[0].name;
    CHECK_FALSE(computeDelta(routes(2, 2), twice).has_value());
    CHECK_FALSE(computeDelta(twice, routes(4, 2)).has_value());
}
