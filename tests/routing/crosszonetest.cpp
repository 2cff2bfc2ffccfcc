#include "routing/slotwire.h"

#include <filbertmount/routing/slotdispatcher.h>

#include "peer.pb.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace Filbertmount;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{Duration(1s)};

/** A dispatcher of upstreams with two slots in the zones a and b that decides by cost. */
struct Fixture {
    explicit Fixture(int perZone, ZoneExitOptions options = {.msPerKilobyte = 0.5, .crossingMs = 1.5})
        : dispatcher(table, {.queue = 200, .zoneExit = options})
    {
        std::vector<RoutedUpstream> list;
        list.reserve(2 * static_cast<std::size_t>(perZone));
        for (int index = 0; index < 2 * perZone; ++index) {
            list.push_back({.id = UpstreamId("u" + std::to_string(index)),
                            .address = {},
                            .zone = AvailabilityZone(index % 2 == 0 ? "a" : "b"),
                            .slots = 2});
        }
        table.update(list, Start);
        for (UpstreamIndex index = 0; index < list.size(); ++index) {
            table.record(index, {AttemptOutcome::Success, 20ms}, Start);
        }
        dispatcher.start({}, Start);
    }

    std::uint64_t requestSlot(std::string_view zone, std::uint64_t bytes, std::optional<Duration> objective = std::nullopt)
    {
        SlotRequest request{.request = ++number, .timeLeft = 10s, .objectiveLeft = objective, .zone = zone};
        request.expectedBytes = bytes;
        dispatcher.handle(1, request, now, outbox);
        return number;
    }

    std::vector<SlotGrant> takeGrants()
    {
        std::vector<SlotGrant> grants;
        for (const AddressedSlotMessage &addressed : outbox) {
            if (const auto *grant = std::get_if<SlotGrant>(&addressed.message)) {
                grants.push_back(*grant);
            }
        }
        outbox.clear();
        return grants;
    }

    /** Occupies all slots of a zone and returns the grants. */
    std::vector<SlotGrant> fill(std::string_view zone, int slots)
    {
        std::vector<SlotGrant> grants;
        while (static_cast<int>(grants.size()) < slots) {
            requestSlot(zone, 10'000'000);
            for (const SlotGrant &grant : takeGrants()) {
                REQUIRE(zoneOf(grant) == zone);
                grants.push_back(grant);
            }
        }
        return grants;
    }

    void release(const SlotGrant &grant)
    {
        dispatcher.handle(1,
                          SlotRelease{.grant = grant.grant,
                                      .upstream = grant.upstream,
                                      .report = {.outcome = AttemptOutcome::Success, .serviceTime = 20ms}},
                          now,
                          outbox);
    }

    [[nodiscard]] std::string zoneOf(const SlotGrant &grant) const
    {
        return table.upstream(grant.upstream).zone.value();
    }

    UpstreamTable table;
    SlotDispatcher dispatcher;
    SlotOutbox outbox;
    Instant now = Start;
    std::uint64_t number = 0;
};

} // namespace

// Guards against a request that waits for a slot of its zone for longer than it would take elsewhere while slots are free there.
TEST_CASE("cross-zone routing: a request with a large response waits briefly for its zone, then leaves")
{
    Fixture fixture(10);
    const std::vector<SlotGrant> running = fixture.fill("a", 20);
    const std::uint64_t first = fixture.requestSlot("a", 90'000);
    CHECK(fixture.takeGrants().empty());

    SUBCASE("a slot of the zone becomes free")
    {
        fixture.now += 1ms;
        fixture.release(running[3]);
        const std::vector<SlotGrant> grants = fixture.takeGrants();
        REQUIRE(grants.size() == 1);
        CHECK(grants[0].request == first);
        CHECK(grants[0].upstream == running[3].upstream);
        CHECK(grants[0].exitReason == ZoneExitReason::None);
    }
    SUBCASE("no slot of the zone becomes free")
    {
        std::vector<SlotGrant> grants;
        while (grants.empty() && fixture.now < Start + 100ms) {
            fixture.now += 5ms;
            fixture.dispatcher.tick(fixture.now, fixture.outbox);
            grants = fixture.takeGrants();
        }
        REQUIRE(grants.size() == 1);
        CHECK(fixture.zoneOf(grants[0]) == "b");
        CHECK(grants[0].exitReason == ZoneExitReason::HomeFull);
        CHECK(fixture.now - Start <= 15ms);
    }
    SUBCASE("a later request of the other zone is not delayed by the waiting one")
    {
        const std::uint64_t later = fixture.requestSlot("b", 400);
        const std::vector<SlotGrant> grants = fixture.takeGrants();
        REQUIRE(grants.size() == 1);
        CHECK(grants[0].request == later);
        CHECK(fixture.zoneOf(grants[0]) == "b");
    }
    SUBCASE("many requests wait: all free slots are used")
    {
        for (int request = 0; request < 16; ++request) {
            fixture.requestSlot("a", 90'000);
        }
        // A tenth of the 40 slots, and one.
        CHECK(fixture.dispatcher.queued() == 5);
        CHECK(fixture.takeGrants().size() == 12);
    }
}

// Guards against requests that miss their objective because they wait for their zone, and against a lost zone.
TEST_CASE("cross-zone routing: an objective or a lost zone sends a request away at once")
{
    Fixture fixture(10);
    SUBCASE("the objective leaves no time to wait")
    {
        fixture.fill("a", 20);
        fixture.requestSlot("a", 90'000, 21ms);
        CHECK(fixture.takeGrants().size() == 1);
    }
    SUBCASE("all upstreams of the zone are down")
    {
        for (UpstreamIndex index = 0; index < 20; index += 2) {
            fixture.table.setState(index, UpstreamState::Down, Start);
        }
        fixture.requestSlot("a", 90'000);
        const std::vector<SlotGrant> grants = fixture.takeGrants();
        REQUIRE(grants.size() == 1);
        CHECK(fixture.zoneOf(grants[0]) == "b");
        CHECK(grants[0].exitReason == ZoneExitReason::NoHomeUpstream);
    }
}

// Guards against messages that differ without the setting, and against a reason of a later version.
TEST_CASE("cross-zone routing: expected bytes and the reason are sent only when set")
{
    UpstreamTable table;
    table.update(std::vector<RoutedUpstream>{{.id = UpstreamId("u"), .address = {}, .slots = 1}}, Start);
    const ServiceName service("shop");
    SlotRequest request{.request = 1, .timeLeft = 1s};
    const std::string without = toWire(request, service, table).SerializeAsString();
    request.expectedBytes = 90'000;
    const Wire::Body with = toWire(request, service, table);
    CHECK(with.SerializeAsString().size() > without.size());
    CHECK(std::get<SlotRequest>(std::get<SlotMessage>(fromWire(with, table))).expectedBytes == 90'000);

    for (const auto &[sent, read] : {std::pair{0U, ZoneExitReason::None},
                                     std::pair{2U, ZoneExitReason::HomeSlow},
                                     std::pair{4U, ZoneExitReason::None},
                                     std::pair{99U, ZoneExitReason::None}}) {
        Wire::Body body = toWire(SlotGrant{.request = 1, .upstream = 0, .grant = 1}, service, table);
        CHECK(body.slot_grant().exit_reason() == 0);
        body.mutable_slot_grant()->set_exit_reason(sent);
        CHECK(std::get<SlotGrant>(std::get<SlotMessage>(fromWire(body, table))).exitReason == read);
    }
}
