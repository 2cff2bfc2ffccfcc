// Guards accounts below their limit against refusals, and the cost of quotas in messages.
#include <doctest/doctest.h>

#include "support/quotafleet.h"

using namespace Filbertmount;
using namespace Filbertmount::Testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration StartTime = seconds(6);

struct Share {
    std::size_t refused = 0;
    std::size_t answered = 0;

    [[nodiscard]] double value() const
    {
        return answered == 0 ? 0 : static_cast<double>(refused) / static_cast<double>(answered);
    }
};

/** Requests without a token among those that were answered in a time. */
Share refusedBetween(const QuotaTally &tally, Instant from, Instant until)
{
    const std::size_t refused = countBetween(tally.refused, from, until) + countBetween(tally.unavailable, from, until);
    return {.refused = refused, .answered = refused + countBetween(tally.granted, from, until)};
}

struct LoadCase {
    const char *name;
    std::size_t instances;
    QuotaLimit limit;
    double perSecond;
    int accounts = 1;
};

const LoadCase LoadCases[] = {
    {"a small account", 14, {.ratePerSecond = 1, .burst = 5}, 0.6, 20},
    {"a medium account", 14, {.ratePerSecond = 20, .burst = 20}, 16},
    {"a large account", 14, {.ratePerSecond = 150, .burst = 100}, 130},
    {"a large account in a large fleet", 135, {.ratePerSecond = 150, .burst = 100}, 130},
};

} // namespace

TEST_CASE("an account below its limit is rarely refused")
{
    for (const LoadCase &load : LoadCases) {
        CAPTURE(load.name);
        // Random arrivals exceed the burst of a small account now and then; these refusals are right.
        std::size_t ideal = 0;
        Share steady;
        Share failed;
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            QuotaFleet fleet(load.instances, {.seed = seed, .loss = 0.001});
            for (int index = 0; index < load.accounts; ++index) {
                fleet.addLoad({.account = "a" + std::to_string(index), .limit = load.limit, .perSecond = load.perSecond});
            }
            fleet.net.runFor(StartTime);
            const Instant start = fleet.net.now();
            fleet.net.runFor(seconds(20));
            const Instant failure = fleet.net.now();
            fleet.kill(fleet.ownerOf("a0"));
            fleet.net.runFor(seconds(4));
            for (int index = 0; index < load.accounts; ++index) {
                const QuotaTally &tally = fleet.tally(static_cast<std::size_t>(index));
                const Share before = refusedBetween(tally, start, failure);
                const Share after = refusedBetween(tally, failure, failure + seconds(2));
                ideal += countBetween(tally.refusedByIdeal, start, failure);
                steady.refused += before.refused;
                steady.answered += before.answered;
                failed.refused += after.refused;
                failed.answered += after.answered;
            }
        }
        MESSAGE(std::string(load.name),
                ": steady ",
                steady.refused,
                "/",
                steady.answered,
                ", of an ideal bucket ",
                ideal,
                ", failed ",
                failed.refused,
                "/",
                failed.answered);
        CHECK(steady.value() <= 0.01 + static_cast<double>(ideal) / static_cast<double>(steady.answered));
        CHECK(failed.value() <= 0.05);
    }
}

TEST_CASE("an account above its limit gets its full rate, with few messages")
{
    QuotaFleet fleet(14, {.seed = 3});
    const QuotaLimit limit{.ratePerSecond = 50, .burst = 20};
    fleet.addLoad({.limit = limit, .perSecond = 300});
    fleet.net.runFor(StartTime);
    const Instant start = fleet.net.now();
    const std::uint64_t before = fleet.traffic().messages;
    fleet.net.runFor(seconds(10));
    const std::size_t granted = countBetween(fleet.tally().granted, start, fleet.net.now());
    MESSAGE("granted ", granted, ", messages ", fleet.traffic().messages - before);
    CHECK(granted >= 470);
    // Rounds of the leader take 8 messages a second for each instance.
    CHECK(fleet.traffic().messages - before < 3000 + 14 * 8 * 10);
}

TEST_CASE("callers that move to other instances still get the full rate")
{
    QuotaFleet fleet(14, {.seed = 5});
    const QuotaLimit limit{.ratePerSecond = 100, .burst = 20};
    fleet.addLoad({.limit = limit, .perSecond = 85});
    fleet.net.runFor(StartTime);
    const Instant start = fleet.net.now();
    for (int step = 0; step < 10; ++step) {
        fleet.rotateWeights();
        fleet.net.runFor(seconds(1));
    }
    const Share moved = refusedBetween(fleet.tally(), start, fleet.net.now());
    MESSAGE("refused ", moved.refused, "/", moved.answered);
    CHECK(moved.value() <= 0.01);
}

TEST_CASE("a lowered limit holds within one window, a raised one at once")
{
    QuotaFleet fleet(9, {.seed = 7});
    fleet.addLoad({.limit = {.ratePerSecond = 100, .burst = 20}, .perSecond = 200});
    fleet.net.runFor(StartTime);
    fleet.setLimit(0, {.ratePerSecond = 20, .burst = 5});
    fleet.net.runFor(seconds(1));
    const Instant lowered = fleet.net.now();
    fleet.net.runFor(seconds(5));
    CHECK(countBetween(fleet.tally().granted, lowered, fleet.net.now()) <= 20 * 5 + 25);
    fleet.setLimit(0, {.ratePerSecond = 150, .burst = 20});
    fleet.net.runFor(milliseconds(500));
    const Instant raised = fleet.net.now();
    fleet.net.runFor(seconds(4));
    CHECK(countBetween(fleet.tally().granted, raised, fleet.net.now()) >= 550);
}

TEST_CASE("accounts with several requests per second on each instance need less than one message per request")
{
    QuotaFleet fleet(14, {.seed = 9});
    constexpr int accounts = 20;
    for (int index = 0; index < accounts; ++index) {
        fleet.addLoad(
            {.account = "account-" + std::to_string(index), .limit = {.ratePerSecond = 120, .burst = 60}, .perSecond = 90});
    }
    fleet.net.runFor(StartTime);
    const std::uint64_t before = fleet.traffic().messages;
    const std::size_t granted = fleet.tally().granted.size();
    fleet.net.runFor(seconds(10));
    const double requests = static_cast<double>(fleet.tally().granted.size() - granted) * accounts;
    MESSAGE("messages per request ", static_cast<double>(fleet.traffic().messages - before) / requests);
    CHECK(static_cast<double>(fleet.traffic().messages - before) < requests);
}
