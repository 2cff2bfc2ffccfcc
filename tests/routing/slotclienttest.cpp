#include <filbertmount/routing/slotclient.h>

#include <doctest/doctest.h>

#include <algorithm>

using namespace Filbertmount;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{Duration(1s)};
constexpr MemberIndex Dispatcher = 3;

struct Fixture {
    Fixture()
        : client(table, {.zone = AvailabilityZone("a")})
    {
        table.update(std::vector<RoutedUpstream>{{.id = UpstreamId("u0"), .slots = 2}, {.id = UpstreamId("u1"), .slots = 2}},
                     Start);
        client.setDispatcher(Dispatcher, Start, outbox, decisions);
        outbox.clear();
    }

    void requestSlot(std::uint64_t number, Instant now = Start, bool isHedge = false)
    {
        client.request({.request = number, .timeLeft = 1s, .isImmediate = isHedge}, now, outbox, decisions);
    }

    /** Returns the number of messages of type T in the outbox. */
    template<class T>
    std::size_t sentCount() const
    {
        return static_cast<std::size_t>(std::count_if(outbox.begin(), outbox.end(), [](const AddressedSlotMessage &message) {
            return std::holds_alternative<T>(message.message);
        }));
    }

    UpstreamTable table;
    SlotClient client;
    SlotOutbox outbox;
    SlotDecisions decisions;
};

} // namespace

TEST_CASE("slot client: places locally when no response comes, and releases a late grant")
{
    Fixture fixture;
    fixture.requestSlot(1);
    CHECK(fixture.sentCount<SlotRequest>() == 1);
    fixture.client.tick(Start + 4ms, fixture.outbox, fixture.decisions);
    CHECK(fixture.decisions.placements.empty());
    fixture.client.tick(Start + 6ms, fixture.outbox, fixture.decisions);
    REQUIRE(fixture.decisions.placements.size() == 1);
    CHECK(fixture.decisions.placements[0].grant == NoGrant);

    fixture.outbox.clear();
    fixture.client.handle(
        Dispatcher, SlotGrant{.request = 1, .upstream = 1, .grant = 9}, Start + 7ms, fixture.outbox, fixture.decisions);
    CHECK(fixture.decisions.placements.size() == 1);
    REQUIRE(fixture.outbox.size() == 1);
    const auto &release = std::get<SlotRelease>(fixture.outbox[0].message);
    CHECK(release.grant == 9);
    CHECK(release.report.outcome == AttemptOutcome::Unused);
}

TEST_CASE("slot client: an upstream that asked for a pause gets nothing until it is over, by grant or by local placement")
{
    Fixture fixture;
    fixture.client.recordPause(0, 10s, Start);
    fixture.client.recordPause(0, 1s, Start);
    fixture.requestSlot(1);
    REQUIRE(fixture.sentCount<SlotRequest>() == 1);
    const auto &request = std::get<SlotRequest>(fixture.outbox.back().message);
    CHECK(request.excluded == absl::InlinedVector<UpstreamIndex, 2>{0});

    // A grant that crossed the pause is not used.
    fixture.client.handle(
        Dispatcher, SlotGrant{.request = 1, .upstream = 0, .grant = 9}, Start + 1ms, fixture.outbox, fixture.decisions);
    REQUIRE(fixture.decisions.placements.size() == 1);
    CHECK(fixture.decisions.placements[0].upstream == 1);

    CHECK(fixture.client.isPaused(0, Start + 9s));
    CHECK_FALSE(fixture.client.isPaused(0, Start + 10s));
    fixture.client.tick(Start + 10s, fixture.outbox, fixture.decisions);
    fixture.requestSlot(2, Start + 10s);
    CHECK(std::get<SlotRequest>(fixture.outbox.back().message).excluded.empty());
}

TEST_CASE("slot client: a pause ends with the incarnation of the upstream that asked for it")
{
    Fixture fixture;
    fixture.client.recordPause(0, 10s, Start);
    fixture.table.update(std::vector<RoutedUpstream>{{.id = UpstreamId("u0"), .slots = 2, .incarnation = Incarnation(2)},
                                                     {.id = UpstreamId("u1"), .slots = 2}},
                         Start + 1s);
    CHECK_FALSE(fixture.client.isPaused(0, Start + 1s));
}

// Load pattern: all upstreams of a service pause.
TEST_CASE("slot client: while all upstreams pause, requests are refused with spread times after the first pause ends")
{
    Fixture fixture;
    fixture.client.recordPause(0, 4s, Start);
    fixture.client.recordPause(1, 8s, Start);
    constexpr std::size_t requests = 20;
    for (std::uint64_t number = 1; number <= requests; ++number) {
        fixture.requestSlot(number);
    }
    CHECK(fixture.sentCount<SlotRequest>() == 0);
    REQUIRE(fixture.decisions.refusals.size() == requests);
    std::vector<Duration> times;
    for (const SlotRefusal &refusal : fixture.decisions.refusals) {
        CHECK(refusal.reason == RefusalReason::UpstreamsPaused);
        CHECK(refusal.retryAfter >= 4s);
        CHECK(refusal.retryAfter <= 5s);
        times.push_back(refusal.retryAfter);
    }
    std::sort(times.begin(), times.end());
    CHECK(times.back() - times.front() > 500ms);
}

TEST_CASE("slot client: waits as long as the dispatcher announced, then places locally")
{
    Fixture fixture;
    fixture.requestSlot(1);
    fixture.client.handle(Dispatcher, SlotQueued{.request = 1, .wait = 50ms}, Start + 1ms);
    fixture.client.tick(Start + 50ms, fixture.outbox, fixture.decisions);
    CHECK(fixture.decisions.placements.empty());
    fixture.client.tick(Start + 57ms, fixture.outbox, fixture.decisions);
    CHECK(fixture.decisions.placements.size() == 1);
}

TEST_CASE("slot client: after several timeouts places locally at once, and retries the dispatcher at intervals")
{
    Fixture fixture;
    for (std::uint64_t number = 1; number <= 3; ++number) {
        fixture.requestSlot(number);
    }
    fixture.client.tick(Start + 10ms, fixture.outbox, fixture.decisions);
    CHECK(fixture.client.localPlacements() == 3);
    fixture.outbox.clear();
    fixture.requestSlot(4, Start + 11ms);
    CHECK(fixture.sentCount<SlotRequest>() == 0);
    CHECK(fixture.client.localPlacements() == 4);
    fixture.requestSlot(5, Start + 200ms);
    CHECK(fixture.sentCount<SlotRequest>() == 1);
}

TEST_CASE("slot client: refuses a hedged attempt when no response comes")
{
    Fixture fixture;
    fixture.requestSlot(1, Start, true);
    fixture.client.tick(Start + 10ms, fixture.outbox, fixture.decisions);
    CHECK(fixture.decisions.placements.empty());
    CHECK(fixture.decisions.refusals.size() == 1);
}

TEST_CASE("slot client: sends waiting requests and a report of its attempts to a new dispatcher")
{
    Fixture fixture;
    fixture.requestSlot(1);
    fixture.client.handle(
        Dispatcher, SlotGrant{.request = 1, .upstream = 0, .grant = 1}, Start, fixture.outbox, fixture.decisions);
    fixture.requestSlot(2);
    fixture.outbox.clear();
    fixture.client.setDispatcher(4, Start, fixture.outbox, fixture.decisions);
    REQUIRE(fixture.outbox.size() == 2);
    const auto &report = std::get<InFlightReport>(fixture.outbox[0].message);
    REQUIRE(report.upstreams.size() == 1);
    CHECK(report.upstreams[0].attempts == 1);
    CHECK(report.lastGrant == 0);
    CHECK(std::get<SlotRequest>(fixture.outbox[1].message).request == 2);
    CHECK(fixture.outbox[1].peer == 4);
}

TEST_CASE("slot client: places each request exactly once, whatever the order of messages")
{
    Fixture fixture;
    fixture.requestSlot(1);
    const SlotGrant grant{.request = 1, .upstream = 0, .grant = 1};
    fixture.client.handle(Dispatcher, grant, Start, fixture.outbox, fixture.decisions);
    fixture.client.handle(Dispatcher, grant, Start, fixture.outbox, fixture.decisions);
    fixture.client.handle(Dispatcher, SlotRefusal{.request = 1}, Start, fixture.decisions);
    fixture.client.tick(Start + 1s, fixture.outbox, fixture.decisions);
    CHECK(fixture.decisions.placements.size() == 1);
    CHECK(fixture.decisions.refusals.empty());
}

TEST_CASE("slot client: does not use a grant whose upstream is draining or not listed")
{
    for (const bool isGone : {false, true}) {
        CAPTURE(isGone);
        Fixture fixture;
        fixture.requestSlot(1);
        if (isGone) {
            fixture.table.update(std::vector<RoutedUpstream>{{.id = UpstreamId("u0"), .slots = 2}}, Start);
        } else {
            fixture.table.setState(1, UpstreamState::Draining, Start);
        }
        fixture.client.handle(
            Dispatcher, SlotGrant{.request = 1, .upstream = 1, .grant = 9}, Start + 1ms, fixture.outbox, fixture.decisions);
        REQUIRE(fixture.decisions.placements.size() == 1);
        CHECK(fixture.decisions.placements[0].upstream == 0);
        CHECK(fixture.decisions.placements[0].grant == NoGrant);
    }
}

// After all instances restarted, a dispatcher may get requests before it has received the list of upstreams.
TEST_CASE("slot client: places locally when the dispatcher has no upstreams")
{
    Fixture fixture;
    fixture.requestSlot(1);
    fixture.client.handle(
        Dispatcher, SlotRefusal{.request = 1, .reason = RefusalReason::NoUpstream}, Start + 1ms, fixture.decisions);
    REQUIRE(fixture.decisions.placements.size() == 1);
    CHECK(fixture.decisions.placements[0].grant == NoGrant);
    CHECK(fixture.decisions.refusals.empty());

    fixture.table.update({}, Start + 2ms);
    fixture.requestSlot(2, Start + 3ms);
    fixture.client.handle(
        Dispatcher, SlotRefusal{.request = 2, .reason = RefusalReason::NoUpstream}, Start + 4ms, fixture.decisions);
    REQUIRE(fixture.decisions.refusals.size() == 1);
    CHECK(fixture.decisions.refusals[0].reason == RefusalReason::NoUpstream);
}
