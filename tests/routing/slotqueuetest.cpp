#include <filbertmount/routing/slotqueue.h>

#include <doctest/doctest.h>

#include <map>
#include <string>

using namespace Filbertmount;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start(1s);

/** A queue whose requests are numbered in the order of arrival. */
struct Fixture {
    SlotQueue queue{200};
    std::uint64_t arrivals = 0;

    SlotQueue::Position add(std::uint64_t flow, std::uint8_t rank = 0)
    {
        ++arrivals;
        return queue.push({.member = 1,
                           .request = {.request = arrivals, .rank = rank, .flow = FlowId(flow)},
                           .arrival = Start + std::chrono::milliseconds(arrivals)});
    }

    void add(std::uint64_t flow, int count, std::uint8_t rank = 0)
    {
        for (int request = 0; request < count; ++request) {
            add(flow, rank);
        }
    }

    /** Serves @p count requests; returns how many of each flow. */
    std::map<std::uint64_t, int> serve(int count)
    {
        std::map<std::uint64_t, int> served;
        for (int turn = 0; turn < count && queue.size() > 0; ++turn) {
            const SlotQueue::Position position = queue.front();
            ++served[queue[position].request.flow.value()];
            queue.removeServed(position);
        }
        return served;
    }
};

} // namespace

TEST_CASE("slot queue: a flow with many requests does not delay those of the others")
{
    struct Row {
        const char *load;
        /** Requests that wait, by flow; the flows arrive in this order. */
        std::map<std::uint64_t, int> waiting;
        bool isNewestFirst;
        int slots;
        std::map<std::uint64_t, int> served;
    };
    for (const Row &row : {
             Row{"all callers at the same rate", {{1, 10}, {2, 10}, {3, 10}}, false, 15, {{1, 5}, {2, 5}, {3, 5}}},
             Row{"one account at seven times its usual rate", {{1, 70}, {2, 5}, {3, 5}}, false, 20, {{1, 10}, {2, 5}, {3, 5}}},
             Row{"the same, overloaded", {{1, 70}, {2, 5}, {3, 5}}, true, 15, {{1, 5}, {2, 5}, {3, 5}}},
             Row{"a burst of one account before all others", {{1, 100}, {2, 10}}, false, 20, {{1, 10}, {2, 10}}},
             Row{"requests without an account", {{0, 30}}, false, 10, {{0, 10}}},
         }) {
        CAPTURE(row.load);
        Fixture fixture;
        for (const auto &[flow, count] : row.waiting) {
            fixture.add(flow, count);
        }
        fixture.queue.setNewestFirst(row.isNewestFirst);
        CHECK(fixture.serve(row.slots) == row.served);
    }
}

TEST_CASE("slot queue: a flow that returns after a pause has saved up no turns and lost none")
{
    Fixture fixture;
    fixture.add(1, 40);
    CHECK(fixture.serve(20) == std::map<std::uint64_t, int>{{1, 20}});
    fixture.add(2, 20);
    CHECK(fixture.serve(10) == std::map<std::uint64_t, int>{{1, 5}, {2, 5}});
    // A flow that sends one request at a time gets its turn in each round, not one after each of the others' turns.
    fixture.add(3, 1);
    const auto served = fixture.serve(3);
    CHECK(served.at(3) == 1);
    fixture.add(3, 1);
    CHECK(fixture.serve(3).at(3) == 1);
}

TEST_CASE("slot queue: a more urgent rank comes before all others, with as many ranks as are configured")
{
    Fixture fixture;
    fixture.add(1, 3, 7);
    fixture.add(1, 3, 2);
    fixture.add(2, 2, 1);
    CHECK(fixture.serve(2) == std::map<std::uint64_t, int>{{2, 2}});
    CHECK(fixture.queue[fixture.queue.front()].request.rank == 2);
    // The last rank is shed first.
    CHECK(fixture.queue[fixture.queue.last()].request.rank == 7);
    // Ranks beyond the last are equal to it.
    fixture.add(1, 1, 200);
    CHECK(fixture.queue.flowSize({.rank = 7, .flow = FlowId(1)}) == 4);
}

TEST_CASE("slot queue: the flow with the most requests is shed first")
{
    Fixture fixture;
    fixture.add(2, 3);
    fixture.add(1, 10);
    fixture.add(3, 4);
    CHECK(fixture.queue[fixture.queue.last()].request.request == 13);
    fixture.queue.setNewestFirst(true);
    CHECK(fixture.queue[fixture.queue.last()].request.request == 4);
}

TEST_CASE("slot queue: the expected wait of a request counts only the turns of other flows that come first")
{
    Fixture fixture;
    fixture.add(1, 50);
    fixture.add(2, 2);
    CHECK(fixture.queue.countAhead({.flow = FlowId(3)}) == 2);
    CHECK(fixture.queue.countAhead({.flow = FlowId(2)}) == 5);
    CHECK(fixture.queue.countAhead({.flow = FlowId(1)}) == 52);
    CHECK(fixture.queue.countAhead({.rank = 1, .flow = FlowId(3)}) == 52);
}

TEST_CASE("slot queue: an entry that is removed or becomes late leaves its flow consistent")
{
    Fixture fixture;
    const SlotQueue::Position first = fixture.add(1);
    const SlotQueue::Position second = fixture.add(1);
    const SlotQueue::Position third = fixture.add(1);
    fixture.queue.remove(second);
    fixture.queue.demote(first);
    CHECK(fixture.queue.front() == third);
    CHECK(fixture.queue.last() == first);
    CHECK(fixture.serve(5) == std::map<std::uint64_t, int>{{1, 2}});
    CHECK(fixture.queue.front() == SlotQueue::None);
}
