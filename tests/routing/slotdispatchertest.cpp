#include <filbertmount/routing/servicerouter.h>
#include <filbertmount/routing/slotdispatcher.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <utility>
#include <vector>

using namespace Filbertmount;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{Duration(1s)};

std::vector<RoutedUpstream> upstreams(int count, int slots)
{
    std::vector<RoutedUpstream> list;
    list.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index) {
        list.push_back({.id = UpstreamId("u" + std::to_string(index)),
                        .address = {},
                        .zone = AvailabilityZone(index % 2 == 0 ? "a" : "b"),
                        .slots = slots});
    }
    return list;
}

/** A started dispatcher that waits for no reports. */
struct Fixture {
    explicit Fixture(int count, int slots, std::size_t queue = 4)
        : dispatcher(table, {.queue = queue})
    {
        table.update(upstreams(count, slots), Start);
        dispatcher.start({}, Start);
    }

    void requestSlot(MemberIndex member, std::uint64_t request, Priority priority = Priority::Interactive, Duration left = 10s)
    {
        dispatcher.handle(member,
                          SlotRequest{.request = request, .rank = static_cast<std::uint8_t>(priority), .timeLeft = left},
                          Start,
                          outbox);
    }

    /** Removes the messages of type T from the outbox and returns them. */
    template<class T>
    std::vector<std::pair<MemberIndex, T>> takeMessages()
    {
        std::vector<std::pair<MemberIndex, T>> found;
        std::erase_if(outbox, [&](const AddressedSlotMessage &addressed) {
            const T *message = std::get_if<T>(&addressed.message);
            if (message != nullptr) {
                found.emplace_back(addressed.peer, *message);
            }
            return message != nullptr;
        });
        return found;
    }

    void release(MemberIndex member, const SlotGrant &grant, AttemptReport report = {AttemptOutcome::Success, 10ms})
    {
        dispatcher.handle(
            member, SlotRelease{.grant = grant.grant, .upstream = grant.upstream, .report = report}, Start + 10ms, outbox);
    }

    UpstreamTable table;
    SlotDispatcher dispatcher;
    SlotOutbox outbox;
};

} // namespace

TEST_CASE("slot dispatcher: grants no more than the slots while the queue is empty, and serves by priority and arrival")
{
    Fixture fixture(2, 1, 8);
    fixture.requestSlot(1, 1);
    fixture.requestSlot(2, 2);
    const auto granted = fixture.takeMessages<SlotGrant>();
    REQUIRE(granted.size() == 2);
    CHECK(granted[0].second.upstream != granted[1].second.upstream);

    fixture.requestSlot(1, 3, Priority::Patient);
    CHECK(fixture.takeMessages<SlotGrant>().empty());
    fixture.requestSlot(2, 4, Priority::Interactive);
    // Each upstream may be overcommitted by one request now; the interactive request arrived second but is served first.
    fixture.release(1, granted[0].second);
    const auto next = fixture.takeMessages<SlotGrant>();
    REQUIRE(!next.empty());
    CHECK(next[0].second.request == 4);
}

TEST_CASE("slot dispatcher: bounds its queue and sheds the newest patient request for an interactive one")
{
    Fixture fixture(1, 1, 2);
    // The first request takes the slot; the next two fill the queue.
    for (std::uint64_t request = 1; request <= 3; ++request) {
        fixture.requestSlot(1, request, Priority::Patient);
    }
    CHECK(fixture.dispatcher.queued() == 2);
    fixture.outbox.clear();
    fixture.requestSlot(1, 50, Priority::Patient);
    auto refused = fixture.takeMessages<SlotRefusal>();
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].second.reason == RefusalReason::QueueFull);
    CHECK(refused[0].second.request == 50);

    // The first interactive request overcommits the upstream; the second one needs a place in the queue.
    fixture.requestSlot(2, 60, Priority::Interactive);
    CHECK(fixture.takeMessages<SlotGrant>().size() == 1);
    fixture.requestSlot(2, 51, Priority::Interactive);
    refused = fixture.takeMessages<SlotRefusal>();
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].second.reason == RefusalReason::Shed);
    CHECK(refused[0].first == 1);
    CHECK(fixture.dispatcher.queued() == 2);
}

TEST_CASE("slot dispatcher: refuses requests that cannot finish before their deadline, on arrival and in the queue")
{
    Fixture fixture(1, 1);
    fixture.requestSlot(1, 1);
    fixture.release(1, fixture.takeMessages<SlotGrant>()[0].second, {AttemptOutcome::Success, 100ms});
    fixture.requestSlot(1, 2);
    fixture.requestSlot(1, 3);
    fixture.outbox.clear();
    fixture.requestSlot(1, 4, Priority::Interactive, 60ms);
    auto refused = fixture.takeMessages<SlotRefusal>();
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].second.reason == RefusalReason::DeadlineTooShort);

    fixture.requestSlot(1, 5, Priority::Interactive, 400ms);
    fixture.outbox.clear();
    fixture.dispatcher.tick(Start + 390ms, fixture.outbox);
    refused = fixture.takeMessages<SlotRefusal>();
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].second.request == 5);
}

TEST_CASE("slot dispatcher: frees the slots of a member that left, and replaces its counts by those of a report")
{
    Fixture fixture(2, 2);
    fixture.requestSlot(1, 1);
    fixture.requestSlot(1, 2);
    fixture.requestSlot(2, 3);
    const auto granted = fixture.takeMessages<SlotGrant>();
    REQUIRE(granted.size() == 3);
    const auto total = [&] {
        return fixture.dispatcher.inFlight(0) + fixture.dispatcher.inFlight(1);
    };
    CHECK(total() == 3);

    SUBCASE("the member leaves")
    {
        fixture.dispatcher.removeMember(1, Start, fixture.outbox);
        CHECK(total() == 1);
    }
    SUBCASE("a report replaces the counts of the member, except for grants after its last grant number")
    {
        fixture.dispatcher.handle(1, InFlightReport{.upstreams = {}, .lastGrant = 1}, Start, fixture.outbox);
        CHECK(total() == 2);
        // The late release of a grant that the report covers must not free the slot again.
        fixture.release(1, granted[0].second);
        CHECK(total() == 2);
    }
    SUBCASE("a duplicated release frees one slot")
    {
        fixture.release(2, granted[2].second);
        fixture.release(2, granted[2].second);
        CHECK(total() == 2);
    }
    SUBCASE("a release by another member than the holder frees nothing")
    {
        fixture.release(2, granted[0].second);
        CHECK(total() == 3);
    }
}

TEST_CASE("slot dispatcher: after a start, counts the attempts of the other members before it grants")
{
    UpstreamTable table;
    table.update(upstreams(1, 1), Start);
    SlotDispatcher dispatcher(table, {});
    SlotOutbox outbox;
    const std::vector<MemberIndex> members = {0, 1};
    dispatcher.start(members, Start);
    dispatcher.handle(0, InFlightReport{}, Start, outbox);
    dispatcher.handle(0, SlotRequest{.request = 1, .timeLeft = 1s}, Start, outbox);
    CHECK(dispatcher.grants() == 0);

    SUBCASE("a report shows that the slot is taken")
    {
        dispatcher.handle(1, InFlightReport{.upstreams = {{.upstream = 0, .attempts = 1}}}, Start, outbox);
        CHECK(dispatcher.inFlight(0) >= 1);
    }
    SUBCASE("a member that does not report delays the others for a short time only")
    {
        dispatcher.tick(Start + 21ms, outbox);
        CHECK(dispatcher.grants() == 1);
    }
}

TEST_CASE("slot dispatcher: prefers the requester's zone until its upstream is clearly slower")
{
    Fixture fixture(2, 8);
    const auto chosenFor = [&](std::string_view zone) {
        fixture.dispatcher.handle(1, SlotRequest{.request = 1, .timeLeft = 1s, .zone = zone}, Start, fixture.outbox);
        const SlotGrant grant = fixture.takeMessages<SlotGrant>().at(0).second;
        fixture.release(1, grant, {.outcome = AttemptOutcome::Unused});
        return grant.upstream;
    };
    CHECK(chosenFor("a") == 0);
    CHECK(chosenFor("b") == 1);
    for (int sample = 0; sample < 20; ++sample) {
        fixture.table.record(0, {AttemptOutcome::Success, 100ms}, Start);
        fixture.table.record(1, {AttemptOutcome::Success, 10ms}, Start);
    }
    CHECK(chosenFor("a") == 1);
}

// Load pattern: a service whose utilization rises while callers are spread unevenly over the zones. With a constant preference,
// the upstreams of the busiest zone filled up first and slowed down while others had free slots.
TEST_CASE("slot dispatcher: the preference for the requester's zone falls as the slots fill up")
{
    struct Case {
        const char *name;
        int used;
        std::size_t fewestInOwnZone;
        std::size_t mostInOwnZone;
    };
    constexpr int count = 20;
    constexpr int slots = 4;
    constexpr std::uint64_t requests = 20;
    for (const Case &row : {Case{"idle", 0, 20, 20}, Case{"half of the slots used", count * slots / 2, 8, 12}}) {
        CAPTURE(row.name);
        Fixture fixture(count, slots);
        fixture.dispatcher.setOptions({.queue = 100, .ownZoneAdvantage = 2});
        std::uint64_t number = 0;
        for (int used = 0; used < row.used; ++used) {
            fixture.requestSlot(1, ++number);
        }
        fixture.takeMessages<SlotGrant>();
        std::size_t inOwnZone = 0;
        for (std::uint64_t request = 0; request < requests; ++request) {
            fixture.dispatcher.handle(2, SlotRequest{.request = ++number, .timeLeft = 10s, .zone = "a"}, Start, fixture.outbox);
            const auto grants = fixture.takeMessages<SlotGrant>();
            REQUIRE(grants.size() == 1);
            inOwnZone += fixture.table.upstream(grants[0].second.upstream).zone == AvailabilityZone("a") ? 1 : 0;
        }
        CHECK(inOwnZone >= row.fewestInOwnZone);
        CHECK(inOwnZone <= row.mostInOwnZone);
    }
}

// Load pattern: a service near its limit. Hedged attempts took the slots that new requests needed.
TEST_CASE("slot dispatcher: grants a hedged attempt only while many slots are free")
{
    for (const int used : {0, 8, 16}) {
        CAPTURE(used);
        constexpr int count = 10;
        constexpr int slots = 2;
        Fixture fixture(count, slots);
        std::uint64_t number = 0;
        for (int taken = 0; taken < used; ++taken) {
            fixture.requestSlot(1, ++number);
        }
        fixture.takeMessages<SlotGrant>();
        fixture.dispatcher.handle(
            2, SlotRequest{.request = ++number, .timeLeft = 10s, .isImmediate = true}, Start, fixture.outbox);
        CHECK(fixture.takeMessages<SlotGrant>().size() == (used < 12 ? 1U : 0U));
        CHECK(fixture.takeMessages<SlotRefusal>().size() == (used < 12 ? 0U : 1U));
    }
}

TEST_CASE("slot dispatcher: work per decision grows at most logarithmically with the number of upstreams")
{
    for (const int count : {10, 100, 1000, 18000}) {
        Fixture fixture(count, 2);
        const std::uint64_t before = fixture.dispatcher.selector().keyChanges();
        for (std::uint64_t request = 1; request <= 10; ++request) {
            fixture.requestSlot(1, request);
            fixture.release(1, fixture.takeMessages<SlotGrant>().at(0).second);
        }
        // Each key change updates one path of the tree; a grant and a release change a key at most three times.
        CHECK(fixture.dispatcher.selector().keyChanges() - before <= 40);
    }
}

namespace {

/** Objective of the requests in an overload, and whether they state it. */
struct Overload {
    Duration objective;
    bool statesObjective;
};

/** Returns the number of requests answered within the objective, of 300 that arrive 1.5 times as fast as 8 slots serve them. */
int responsesInTime(const Overload &load)
{
    constexpr int slots = 8;
    constexpr Duration service = 40ms;
    constexpr Duration step = 1ms;
    UpstreamTable table;
    SlotDispatcher dispatcher(table, {.queue = 200});
    SlotOutbox outbox;
    table.update(upstreams(slots, 1), Start);
    dispatcher.start({}, Start);
    std::vector<std::pair<Instant, SlotGrant>> running;
    std::vector<Instant> arrivals(301);
    std::vector<Instant> freeAt(slots);
    int inTime = 0;
    double due = 0;
    std::uint64_t last = 0;
    for (Instant now = Start; last < 300 || !running.empty(); now += step) {
        // Arrival rate: 1.5 x 8 slots / 40 ms = 0.3 per step.
        for (due += 0.3; due >= 1 && last < 300; due -= 1) {
            arrivals[++last] = now;
            SlotRequest request{.request = last, .timeLeft = 500ms};
            if (load.statesObjective) {
                request.objectiveLeft = load.objective;
            }
            dispatcher.handle(1, request, now, outbox);
        }
        while (!running.empty() && running.front().first <= now) {
            const SlotGrant grant = running.front().second;
            running.erase(running.begin());
            inTime += now - arrivals[grant.request] <= load.objective ? 1 : 0;
            dispatcher.handle(1,
                              SlotRelease{.grant = grant.grant,
                                          .upstream = grant.upstream,
                                          .report = {.outcome = AttemptOutcome::Success, .serviceTime = service}},
                              now,
                              outbox);
        }
        dispatcher.tick(now, outbox);
        for (const AddressedSlotMessage &message : std::exchange(outbox, {})) {
            if (const auto *grant = std::get_if<SlotGrant>(&message.message)) {
                // An upstream runs one request at a time; an overcommitted request waits there.
                Instant &isFreeAt = freeAt[grant->upstream];
                isFreeAt = std::max(isFreeAt, now) + service;
                running.emplace_back(isFreeAt, *grant);
                std::sort(running.begin(), running.end(), [](const auto &left, const auto &right) {
                    return left.first < right.first;
                });
            }
        }
        if (now - Start > 60s) {
            break;
        }
    }
    return inTime;
}

} // namespace

// Load pattern: an overload that lasts longer than the queue can absorb. In the order of arrival, each request is served just
// after its objective, although eight slots can serve two of three requests in time.
TEST_CASE("slot dispatcher: under sustained overload, most of the requests that the slots can serve meet their objective")
{
    const int possible = 200;
    CHECK(responsesInTime({.objective = 120ms, .statesObjective = true}) >= possible * 3 / 4);
    CHECK(responsesInTime({.objective = 120ms, .statesObjective = true})
          > responsesInTime({.objective = 120ms, .statesObjective = false}) + possible / 4);
}

TEST_CASE("slot dispatcher: a request that can no longer meet its objective is queued behind those that can")
{
    Fixture fixture(1, 1, 10);
    fixture.requestSlot(1, 1);
    const SlotGrant first = fixture.takeMessages<SlotGrant>().at(0).second;
    fixture.table.record(0, {.outcome = AttemptOutcome::Success, .serviceTime = 20ms}, Start);
    const auto askWithObjective = [&](std::uint64_t number, Duration objective) {
        fixture.dispatcher.handle(
            1, SlotRequest{.request = number, .timeLeft = 10s, .objectiveLeft = objective}, Start, fixture.outbox);
    };
    askWithObjective(2, 5ms);
    askWithObjective(3, 500ms);
    fixture.release(1, first);
    const auto granted = fixture.takeMessages<SlotGrant>();
    REQUIRE_FALSE(granted.empty());
    CHECK(granted[0].second.request == 3);
}

TEST_CASE("slot dispatcher: a request that excludes the free upstreams does not keep those of other flows waiting")
{
    constexpr int upstreamCount = 20; // So many that three waiting requests do not overcommit any of them.
    Fixture fixture(upstreamCount, 1, 8);
    for (std::uint64_t request = 1; request <= upstreamCount; ++request) {
        fixture.requestSlot(1, request);
    }
    const auto granted = fixture.takeMessages<SlotGrant>();
    REQUIRE(granted.size() == upstreamCount);
    const SlotGrant first = granted[0].second;
    const SlotGrant second = granted[1].second;
    const auto enqueue = [&](std::uint64_t request, FlowId flow, absl::InlinedVector<UpstreamIndex, 2> excluded) {
        fixture.dispatcher.handle(2,
                                  SlotRequest{.request = request, .flow = flow, .timeLeft = 10s, .excluded = std::move(excluded)},
                                  Start + std::chrono::milliseconds(request - 100),
                                  fixture.outbox);
    };
    // Of flows with equal turns, the one whose request arrived first is next.
    enqueue(101, FlowId(2), {});
    enqueue(102, FlowId(2), {});
    enqueue(103, FlowId(1), {first.upstream});
    fixture.release(1, second);
    auto served = fixture.takeMessages<SlotGrant>();
    REQUIRE(served.size() == 1);
    CHECK(served[0].second.request == 101);
    // The turn is that of the other flow, whose request excludes the upstream.
    fixture.release(1, first);
    served = fixture.takeMessages<SlotGrant>();
    REQUIRE(served.size() == 1);
    CHECK(served[0].second.request == 102);
}
