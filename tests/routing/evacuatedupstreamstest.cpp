// Upstreams of evacuated zones get no new attempts by any way, and start cold afterwards.
#include <filbertmount/routing/servicerouter.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace Filbertmount;
using namespace std::chrono_literals;

namespace {

constexpr MemberIndex Other = 1;

/** Two upstreams of four slots in each of the zones "a" and "b", of which @p evacuated are evacuated. */
std::vector<RoutedUpstream> upstreams(const std::string &evacuated)
{
    std::vector<RoutedUpstream> list;
    for (const char zone : {'a', 'b'}) {
        for (const char number : {'1', '2'}) {
            list.push_back({.id = UpstreamId(std::string{zone, number}),
                            .zone = AvailabilityZone(std::string{zone}),
                            .slots = 4,
                            .isEvacuated = evacuated.find(zone) != std::string::npos});
        }
    }
    return list;
}

/** An instance of zone "a", which is its own dispatcher or places locally. */
struct Fixture {
    explicit Fixture(bool isDispatcher)
    {
        set("");
        if (isDispatcher) {
            router.setDispatcher(SelfMember, std::vector<MemberIndex>{SelfMember}, now, output);
        }
    }

    void set(const std::string &evacuated)
    {
        router.updateUpstreams(upstreams(evacuated), now, output);
    }

    void request(std::uint64_t number, bool isHedge = false, Duration timeLeft = 10s)
    {
        router.request({.request = number, .timeLeft = timeLeft, .isImmediate = isHedge}, now, output);
    }

    [[nodiscard]] std::string zoneOf(const SlotPlacement &placement) const
    {
        return router.table().upstream(placement.upstream).zone.value();
    }

    [[nodiscard]] bool hasPlacementIn(const std::string &zone) const
    {
        const std::vector<SlotPlacement> &placements = output.decisions.placements;
        return std::any_of(placements.begin(), placements.end(), [&](const SlotPlacement &placement) {
            return zoneOf(placement) == zone;
        });
    }

    [[nodiscard]] int limitOf(const std::string &id) const
    {
        return router.table().limit(*router.table().find(id));
    }

    ServiceRouter router{ServiceRouterOptions{.client = {.zone = AvailabilityZone("a")}}};
    ServiceRouterOutput output;
    Instant now{Duration(100s)};
};

} // namespace

// Covers the zone of the dispatcher, whose upstreams it prefers for its own requests, and hedged attempts.
TEST_CASE("evacuated upstreams: no grant, local placement or hedged attempt reaches them, and running attempts finish")
{
    for (const bool isDispatcher : {true, false}) {
        CAPTURE(isDispatcher);
        Fixture fixture(isDispatcher);
        for (std::uint64_t number = 1; number <= 4; ++number) {
            fixture.request(number);
        }
        const std::vector<SlotPlacement> running = fixture.output.decisions.placements;
        REQUIRE(running.size() == 4);
        REQUIRE(fixture.hasPlacementIn("a"));
        fixture.output.clear();

        fixture.set("a");
        for (const SlotPlacement &placement : running) {
            fixture.router.release(
                placement, {.outcome = AttemptOutcome::Success, .serviceTime = 4ms}, fixture.now, fixture.output);
        }
        for (std::uint64_t number = 5; number <= 20; ++number) {
            fixture.request(number, number % 4 == 0);
        }
        CHECK_FALSE(fixture.output.decisions.placements.empty());
        CHECK_FALSE(fixture.hasPlacementIn("a"));
        for (const UpstreamIndex index : fixture.router.upstreamsToPoll({}, fixture.now + 1s)) {
            CHECK(fixture.router.table().upstream(index).zone != AvailabilityZone("a"));
        }
    }
}

// Requests that waited for an evacuated upstream were held until their deadline.
TEST_CASE("evacuated upstreams: queued requests are granted elsewhere, or refused at once when no upstream is left")
{
    for (const bool isLeft : {true, false}) {
        CAPTURE(isLeft);
        Fixture fixture(true);
        for (std::uint64_t number = 1; number <= 20; ++number) {
            fixture.request(number);
        }
        const std::vector<SlotPlacement> running = fixture.output.decisions.placements;
        REQUIRE(fixture.router.dispatcher().queued() == 20 - running.size());
        fixture.output.clear();
        fixture.set(isLeft ? "a" : "ab");
        CHECK(fixture.output.decisions.refusals.size() == (isLeft ? 0 : 20 - running.size()));
        for (const SlotPlacement &placement : running) {
            fixture.router.release(
                placement, {.outcome = AttemptOutcome::Success, .serviceTime = 4ms}, fixture.now, fixture.output);
        }
        CHECK(fixture.output.decisions.placements.empty() != isLeft);
        CHECK_FALSE(fixture.hasPlacementIn("a"));
        CHECK(fixture.router.dispatcher().queued() == 0);
    }
}

// Callers that were told to come back after 50 ms made 20 requests per second each for as long as the evacuation lasted.
TEST_CASE("evacuated upstreams: while all are evacuated, requests are refused at once with the time to retry")
{
    const struct {
        Duration elapsed;
        Duration shortest;
    } rows[] = {{0s, 1s}, {3s, 3s}, {1min, 5s}};
    for (const bool isDispatcher : {true, false}) {
        for (const auto &row : rows) {
            CAPTURE(isDispatcher);
            CAPTURE(toMilliseconds(row.elapsed));
            Fixture fixture(isDispatcher);
            fixture.set("ab");
            fixture.now += row.elapsed;
            fixture.set("ab");
            fixture.request(1);
            REQUIRE(fixture.output.decisions.refusals.size() == 1);
            const SlotRefusal &refusal = fixture.output.decisions.refusals[0];
            CHECK(refusal.reason == RefusalReason::ZonesEvacuated);
            CHECK(refusal.retryAfter >= row.shortest);
            CHECK(refusal.retryAfter <= row.shortest * 5 / 4);
        }
    }
}

TEST_CASE("evacuated upstreams: they start cold at the end, also if they were evacuated since this instance has started")
{
    for (const bool isAtStart : {false, true}) {
        CAPTURE(isAtStart);
        Fixture fixture(true);
        ServiceRouter restarted{ServiceRouterOptions{}};
        ServiceRouter &router = isAtStart ? restarted : fixture.router;
        router.updateUpstreams(upstreams("a"), fixture.now, fixture.output);
        const auto limitOf = [&router](std::string_view id) {
            return router.table().limit(*router.table().find(id));
        };
        CHECK(limitOf("a1") == 0);
        CHECK(limitOf("b1") == 4);
        router.updateUpstreams(upstreams(""), fixture.now + 1s, fixture.output);
        CHECK(limitOf("a1") == 1);
        CHECK(limitOf("b1") == 4);
        router.tick(fixture.now + 4s, fixture.output);
        CHECK(limitOf("a1") == 3);
        router.tick(fixture.now + 7s, fixture.output);
        CHECK(limitOf("a1") == 4);
    }
}

TEST_CASE("evacuated upstreams: a grant by a dispatcher that does not know of the evacuation is not used")
{
    Fixture fixture(false);
    fixture.router.setDispatcher(Other, std::vector<MemberIndex>{SelfMember, Other}, fixture.now, fixture.output);
    fixture.request(1);
    fixture.set("a");
    fixture.router.handle(
        Other, SlotGrant{.request = 1, .upstream = *fixture.router.table().find("a1"), .grant = 7}, fixture.now, fixture.output);
    REQUIRE(fixture.output.decisions.placements.size() == 1);
    CHECK(fixture.hasPlacementIn("b"));
}

TEST_CASE("evacuated upstreams: failures eject at most half of those that are left")
{
    Fixture fixture(false);
    fixture.set("a");
    for (const char *id : {"b1", "b2"}) {
        const UpstreamIndex index = *fixture.router.table().find(id);
        fixture.router.release({.upstream = index}, {.outcome = AttemptOutcome::ConnectFailed}, fixture.now, fixture.output);
    }
    CHECK(fixture.limitOf("b1") + fixture.limitOf("b2") == 4);
}
