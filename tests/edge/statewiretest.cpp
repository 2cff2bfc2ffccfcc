#include "edge/statewire.h"

#include <doctest/doctest.h>

using namespace Filbertmount;
using namespace std::chrono_literals;

namespace {

std::vector<StateChange> upstreams(std::size_t count)
{
    std::vector<StateChange> changes;
    for (std::size_t number = 0; number < count; ++number) {
        const std::string id = "i-" + std::to_string(number);
        changes.push_back({.object = {.name = id,
                                      .revision = Revision(number + 1),
                                      .value = UpstreamRecord{.id = UpstreamId(id),
                                                              .service = ServiceName("shop"),
                                                              .address = "10.0.0.1:80",
                                                              .zone = AvailabilityZone("a"),
                                                              .slots = 4}},
                           .isDeleted = number % 7 == 0});
    }
    return changes;
}

} // namespace

// When all upstreams register at once, the changes do not fit into one message. Such changes made each of 144 instances pull the
// full state from the reader.
TEST_CASE("state wire: any number of changes is sent in messages of bounded size")
{
    constexpr std::size_t largestMessage = 8000;
    for (const std::size_t count : {0U, 1U, 40U, 41U, 469U}) {
        CAPTURE(count);
        const std::vector<StateChange> changes = upstreams(count);
        const std::vector<Wire::StatePush> pushes = toPushes(StateKind::Upstreams, changes);
        CHECK(pushes.size() == std::max<std::size_t>(1, (count + ObjectsPerPush - 1) / ObjectsPerPush));
        std::vector<StateChange> received;
        for (const Wire::StatePush &push : pushes) {
            CHECK(push.ByteSizeLong() <= largestMessage);
            for (const Wire::SharedObject &object : push.objects()) {
                received.push_back(fromWire(object, StateKind::Upstreams).value());
            }
        }
        REQUIRE(received.size() == count);
        for (std::size_t position = 0; position < count; ++position) {
            CHECK(received[position].object.name == changes[position].object.name);
            CHECK(received[position].isDeleted == changes[position].isDeleted);
        }
    }
}

TEST_CASE("state wire: a large route set is split into messages of bounded size and joined again")
{
    constexpr std::size_t largestMessage = 60'000;
    for (const std::size_t count : {0U, 1U, 300U, 301U, 1816U}) {
        CAPTURE(count);
        RouteSet routes{.version = RouteSetVersion(5),
                        .routes = {},
                        .services = {{.name = ServiceName("s"), .warmup = 7500ms, .warmupRate = 6.5}},
                        .limits = {}};
        for (std::size_t number = 0; number < count; ++number) {
            routes.routes.push_back({.name = "r-" + std::to_string(number),
                                     .host = "a-host-name.example",
                                     .pathPrefix = "/a-path-prefix/" + std::to_string(number) + "/",
                                     .targets = {{.service = ServiceName("s"), .weight = 1}}});
        }
        const std::vector<StateChange> whole{{.object = {.name = "main", .revision = Revision(3), .value = routes}}};
        std::vector<StateObject> pieces;
        for (const Wire::StatePush &push : toPushes(StateKind::Routes, whole)) {
            CHECK(push.ByteSizeLong() <= largestMessage);
            pieces.push_back(fromWire(push.objects(0), StateKind::Routes).value().object);
        }
        const std::vector<StateObject> joinedObjects = joinPieces(std::move(pieces));
        REQUIRE(joinedObjects.size() == 1);
        const auto &received = std::get<RouteSet>(joinedObjects[0].value);
        CHECK(received.routes == routes.routes);
        REQUIRE(received.services.size() == 1);
        CHECK(received.services[0].warmup == 7500ms);
        CHECK(received.services[0].warmupRate == 6.5);
    }
}

// Messages were bounded by the number of routes, so that those with long names fitted into no datagram and were never sent.
TEST_CASE("state wire: messages are bounded by their bytes, however long the names are")
{
    constexpr std::size_t largestMessage = MaxPushBytes + 2000;
    RouteSet routes{.version = RouteSetVersion(5), .routes = {}, .requiresKey = true};
    for (std::size_t number = 0; number < 400; ++number) {
        const std::string name = std::to_string(number) + std::string(200, 'n');
        routes.routes.push_back({.name = name,
                                 .host = std::string(200, 'h'),
                                 .pathPrefix = "/" + name + "/",
                                 .targets = {{.service = ServiceName(std::string(100, 's')), .weight = 1}}});
        routes.services.push_back({.name = ServiceName(name), .healthPath = "/" + name});
    }
    routes.accounts.push_back({.name = AccountName("large")});
    for (std::size_t number = 0; number < 5000; ++number) {
        routes.accounts[0].keyDigests.push_back(sha256(std::to_string(number)));
    }
    routes.accounts.push_back({.name = AccountName("small"), .keyDigests = {sha256("s")}});
    const std::vector<StateChange> whole{{.object = {.name = "main", .revision = Revision(3), .value = routes}}};
    std::vector<StateObject> pieces;
    for (const Wire::StatePush &push : toPushes(StateKind::Routes, whole)) {
        CHECK(push.ByteSizeLong() <= largestMessage);
        pieces.push_back(fromWire(push.objects(0), StateKind::Routes).value().object);
    }
    CHECK(pieces.size() * MaxPushBytes < 3 * wireBytes(routes));
    const std::vector<StateObject> joined = joinPieces(std::move(pieces));
    REQUIRE(joined.size() == 1);
    const auto &received = std::get<RouteSet>(joined[0].value);
    CHECK(received.routes == routes.routes);
    CHECK(received.accounts == routes.accounts);
    CHECK(received.services.size() == routes.services.size());

    std::vector<StateChange> changes = upstreams(80);
    for (StateChange &change : changes) {
        std::get<UpstreamRecord>(change.object.value).address = std::string(2000, 'a');
    }
    for (const Wire::StatePush &push : toPushes(StateKind::Upstreams, changes)) {
        CHECK(push.ByteSizeLong() <= largestMessage);
    }
}

// A configuration of 10,000 accounts takes 1.8 MB, and a part of it must not be taken for the whole.
TEST_CASE("state wire: accounts are split into messages of bounded size and joined again")
{
    constexpr std::size_t largestMessage = 60'000;
    for (const std::size_t count : {0U, 1U, 84U, 10'000U}) {
        CAPTURE(count);
        RouteSet routes{.version = RouteSetVersion(5),
                        .routes = {{.name = "r", .targets = {{.service = ServiceName("s")}}, .isKeyExempt = true}},
                        .requiresKey = true};
        routes.routes[0].allowedRegions = {Region("north")};
        for (std::size_t number = 0; number < count; ++number) {
            const std::string name = "account-" + std::to_string(number);
            routes.accounts.push_back({.name = AccountName(name),
                                       .keyDigests = {sha256(name), sha256(name + "2"), sha256(name + "3"), sha256(name + "4")},
                                       .rank = number % 2 == 0 ? std::optional(static_cast<int>(number % 3)) : std::nullopt,
                                       .rate = 2.5,
                                       .burst = 7,
                                       .allowedRegions = {Region("north")}});
        }
        const std::vector<StateChange> whole{{.object = {.name = "main", .revision = Revision(3), .value = routes}}};
        std::vector<StateObject> pieces;
        for (const Wire::StatePush &push : toPushes(StateKind::Routes, whole)) {
            CHECK(push.ByteSizeLong() <= largestMessage);
            pieces.push_back(fromWire(push.objects(0), StateKind::Routes).value().object);
        }
        const std::vector<StateObject> joinedObjects = joinPieces(std::move(pieces));
        REQUIRE(joinedObjects.size() == 1);
        const auto &received = std::get<RouteSet>(joinedObjects[0].value);
        CHECK(received.requiresKey);
        CHECK(received.routes == routes.routes);
        CHECK((received.accounts == routes.accounts));
    }
}

TEST_CASE("state wire: a delta carries changed and removed accounts")
{
    RouteSet before{.version = RouteSetVersion(5), .requiresKey = true};
    before.accounts = {{.name = AccountName("a"), .keyDigests = {sha256("1")}}, {.name = AccountName("b")}};
    RouteSet after = before;
    after.version = RouteSetVersion(6);
    after.accounts = {{.name = AccountName("a"), .keyDigests = {sha256("2")}}};
    const StateChange change{.object = {.name = "main", .revision = Revision(3), .value = after}};
    const std::optional<RouteSetDelta> received = deltaFromWire(toWire(change, computeDelta(before, after).value()));
    REQUIRE(received.has_value());
    CHECK(received->removedAccounts == std::vector{AccountName("b")});
    CHECK((applyDelta(before, *received).value().accounts == after.accounts));
}

TEST_CASE("state wire: a route set delta is decoded as it was encoded, and a complete set is not a delta")
{
    RouteSet before{.version = RouteSetVersion(5), .routes = {{.name = "a", .targets = {{.service = ServiceName("s")}}}}};
    RouteSet after{.version = RouteSetVersion(6), .routes = {{.name = "b", .targets = {{.service = ServiceName("s")}}}}};
    const StateChange change{.object = {.name = "main", .revision = Revision(3), .value = after}};
    const std::optional<RouteSetDelta> received = deltaFromWire(toWire(change, computeDelta(before, after).value()));
    REQUIRE(received.has_value());
    CHECK(applyDelta(before, *received).value().routes == after.routes);
    CHECK_FALSE(deltaFromWire(toWire(change)).has_value());
}

// A delta to version 0 was taken for a complete set, so all routes that had not changed were gone on most instances.
TEST_CASE("state wire: a delta to any version is distinguished from a complete set")
{
    for (const std::uint64_t base : {0, 1, 5}) {
        CAPTURE(base);
        RouteSet before{.version = RouteSetVersion(base), .routes = {{.name = "a", .targets = {{.service = ServiceName("s")}}}}};
        RouteSet after = before;
        after.version = RouteSetVersion(base + 3);
        after.routes.push_back({.name = "b", .targets = {{.service = ServiceName("s")}}});
        const StateChange change{.object = {.name = "main", .revision = Revision(3), .value = after}};
        const std::optional<RouteSetDelta> received = deltaFromWire(toWire(change, computeDelta(before, after).value()));
        REQUIRE(received.has_value());
        CHECK(applyDelta(before, *received).value().routes == after.routes);
        CHECK_FALSE(deltaFromWire(toWire(change)).has_value());
    }
}

// A hash that differed after the way over the network would make instances ask each other for the same routes for ever.
TEST_CASE("state wire: routes have the same hash on the instance that receives them")
{
    const ForwardRoute full{.name = "a",
                            .host = "h",
                            .pathPrefix = "/a/",
                            .isRepeatable = true,
                            .timeout = std::chrono::hours(48) + std::chrono::nanoseconds(1),
                            .latencyObjective = std::chrono::nanoseconds(1500),
                            .rank = 3,
                            .maxAttempts = 2,
                            .targets = {{.service = ServiceName("s"), .weight = 3}, {.service = ServiceName("t"), .weight = 1}},
                            .isKeyExempt = true};
    ForwardRoute other = full;
    other.targets[0].weight = 2;
    const RouteSet sent{.version = RouteSetVersion(0),
                        .routes = {full, {.name = "b", .targets = {{.service = ServiceName("s")}}}}};
    const StateChange change{.object = {.name = "main", .revision = Revision(3), .value = sent}};
    const auto received = std::get<RouteSet>(fromWire(toWire(change), StateKind::Routes).value().object.value);
    CHECK(routesHash(received) == routesHash(sent));
    CHECK(routesHash({.version = {}, .routes = {full}}) != routesHash({.version = {}, .routes = {other}}));
    const RouteSet reversed{.version = {}, .routes = {sent.routes[1], sent.routes[0]}};
    CHECK(routesHash(reversed) == routesHash(sent));
}

// One response from the store may contain several versions of the route set. Joining three versions into one, with the number
// of the first and the routes of all, made removed routes handle requests.
TEST_CASE("state wire: of several versions of the routes in one response, only the last one is sent, unchanged")
{
    std::vector<StateChange> versions;
    for (std::uint64_t version = 15; version <= 23; version += 4) {
        RouteSet routes{.version = RouteSetVersion(version), .routes = {}, .services = {}, .limits = {}};
        for (std::uint64_t number = 0; number < version; ++number) {
            routes.routes.push_back({.name = "r" + std::to_string(number), .targets = {{.service = ServiceName("s")}}});
        }
        versions.push_back({.object = {.name = "main", .revision = Revision(version), .value = routes}});
    }
    std::vector<StateObject> pieces;
    for (const Wire::StatePush &push : toPushes(StateKind::Routes, versions)) {
        for (const Wire::SharedObject &object : push.objects()) {
            pieces.push_back(fromWire(object, StateKind::Routes).value().object);
        }
    }
    const std::vector<StateObject> received = joinPieces(std::move(pieces));
    REQUIRE(received.size() == 1);
    CHECK(std::get<RouteSet>(received[0].value).version == RouteSetVersion(23));
    CHECK(std::get<RouteSet>(received[0].value).routes.size() == 23);

    std::vector<StateObject> unrelated;
    unrelated.reserve(versions.size());
    for (const StateChange &change : versions) {
        unrelated.push_back(change.object);
    }
    CHECK(joinPieces(std::move(unrelated)).size() == versions.size());
}
