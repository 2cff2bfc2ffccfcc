#include <filbertmount/routing/zoneexitpolicy.h>

#include <doctest/doctest.h>

#include <limits>
#include <vector>

using namespace Filbertmount;
using namespace std::chrono_literals;
using Action = ZoneExitDecision::Action;

namespace {

constexpr double Full = std::numeric_limits<double>::infinity();
constexpr int Slots = 40;

ZoneOffer zoneOf(double bestKey, double averageSlots = Slots)
{
    return {.bestKey = bestKey, .slots = Slots, .usable = Slots / 2, .averageSlots = averageSlots};
}

ZoneOffer lostZone()
{
    return {.bestKey = Full};
}

constexpr Duration Mean = 20ms;

} // namespace

// Guards against requests that leave a zone without need, and against requests that stay although that costs more.
TEST_CASE("zone exit policy: decides each load by its cost")
{
    struct Case {
        const char *load;
        std::vector<ZoneOffer> offers;
        std::uint64_t bytes;
        double utilization;
        std::size_t homeQueue;
        Action action;
        std::size_t zone;
        ZoneExitReason reason;
    };
    const std::vector<Case> cases{
        {"idle", {zoneOf(1), zoneOf(1), zoneOf(1)}, 400, 0, 0, Action::Grant, 0, ZoneExitReason::None},
        {"equal zones with the same load", {zoneOf(1.75), zoneOf(1.75)}, 400, 0.6, 0, Action::Grant, 0, ZoneExitReason::None},
        {"a burst in one zone", {zoneOf(Full), zoneOf(1), zoneOf(1.75)}, 400, 0.5, 0, Action::Grant, 1, ZoneExitReason::HomeFull},
        {"half of the callers moved", {zoneOf(1.75), zoneOf(1)}, 400, 0.5, 0, Action::Grant, 1, ZoneExitReason::HomeSlow},
        {"a third of the zone's upstreams slow by 12, full",
         {zoneOf(Full, 27), zoneOf(1.75)},
         400,
         0.7,
         2,
         Action::Grant,
         1,
         ZoneExitReason::HomeFull},
        {"only slow upstreams free", {zoneOf(12), zoneOf(1)}, 400, 0.5, 0, Action::Grant, 1, ZoneExitReason::HomeSlow},
        {"a lost zone", {lostZone(), zoneOf(1.75), zoneOf(1)}, 90'000, 0.5, 0, Action::Grant, 2, ZoneExitReason::NoHomeUpstream},
        {"large responses, slower home", {zoneOf(1.75), zoneOf(1)}, 90'000, 0.5, 0, Action::Grant, 0, ZoneExitReason::None},
        {"large responses, full home", {zoneOf(Full), zoneOf(1)}, 90'000, 0.5, 0, Action::Hold, 0, ZoneExitReason::None},
        {"large responses, long home queue",
         {zoneOf(Full), zoneOf(1)},
         90'000,
         0.5,
         40,
         Action::Grant,
         1,
         ZoneExitReason::HomeFull},
        {"all zones full", {zoneOf(Full), zoneOf(Full)}, 400, 1, 0, Action::None, 0, ZoneExitReason::None},
    };
    for (const Case &row : cases) {
        CAPTURE(row.load);
        ZoneExitPolicy policy({.msPerKilobyte = 0.5, .crossingMs = 1.5});
        ZoneExitDecision decision;
        // A persistent load: the smoothed gain of leaving has settled.
        for (int request = 0; request < 100; ++request) {
            decision = policy.decide({.home = 0,
                                      .meanServiceTime = Mean,
                                      .utilization = row.utilization,
                                      .expectedBytes = row.bytes,
                                      .homeQueue = row.homeQueue},
                                     row.offers);
        }
        CHECK(decision.action == row.action);
        CHECK(decision.zone == row.zone);
        CHECK(decision.reason == row.reason);
    }
}

// Guards against waiting at home for longer than the request would take elsewhere, or past its objective.
TEST_CASE("zone exit policy: a wait for a home slot is bounded by the time elsewhere and by the objective")
{
    struct Case {
        const char *name;
        Duration waited;
        std::optional<Duration> objectiveLeft;
        bool mayHold;
        Action action;
    };
    for (const Case &row : {Case{"new", 0ms, std::nullopt, true, Action::Hold},
                            Case{"distant objective", 0ms, 100ms, true, Action::Hold},
                            Case{"waited for half of the time elsewhere", 8ms, std::nullopt, true, Action::Grant},
                            Case{"objective just after a request elsewhere would end", 0ms, 20ms, true, Action::Grant},
                            Case{"objective already missed", 0ms, -1ms, true, Action::Grant},
                            Case{"long queue", 0ms, std::nullopt, false, Action::Grant}}) {
        CAPTURE(row.name);
        ZoneExitPolicy policy({.msPerKilobyte = 1, .crossingMs = 1.5});
        const std::vector<ZoneOffer> offers{zoneOf(Full), zoneOf(1)};
        const ZoneExitDecision decision = policy.decide({.home = 0,
                                                         .meanServiceTime = Mean,
                                                         .utilization = 0.5,
                                                         .expectedBytes = 90'000,
                                                         .mayHold = row.mayHold,
                                                         .waited = row.waited,
                                                         .objectiveLeft = row.objectiveLeft},
                                                        offers);
        CHECK(decision.action == row.action);
        const Duration elsewhere = Mean * 4 / 7 + 1500us;
        CHECK(decision.holdFor <= elsewhere);
        if (row.objectiveLeft && decision.action == Action::Hold) {
            CHECK(decision.holdFor + elsewhere <= *row.objectiveLeft + 1ms);
        }
    }
}

// Guards against two zones that send each other the same load: the best free upstreams of equally loaded zones differ from one
// request to the next, in both directions.
TEST_CASE("zone exit policy: equal zones whose free upstreams alternate do not exchange requests")
{
    ZoneExitPolicy policy({.msPerKilobyte = 0, .crossingMs = 0.2});
    int exits = 0;
    for (int request = 0; request < 10'000; ++request) {
        const bool isFirstFaster = request / 3 % 2 == 0;
        const std::vector<ZoneOffer> offers{zoneOf(isFirstFaster ? 1 : 1.75), zoneOf(isFirstFaster ? 1.75 : 1)};
        const auto home = static_cast<std::size_t>(request % 2);
        const ZoneExitDecision decision = policy.decide({.home = home, .meanServiceTime = Mean, .utilization = 0.6}, offers);
        exits += decision.zone == home ? 0 : 1;
        REQUIRE_FALSE((policy.isOutflowOpen(0, 1) && policy.isOutflowOpen(1, 0)));
    }
    CHECK(exits == 0);
}

TEST_CASE("zone exit policy: measures the round trip between zones as the excess over the dispatcher's own zone")
{
    ZoneExitPolicy policy;
    const std::vector<ZoneOffer> offers{zoneOf(1), zoneOf(1), zoneOf(1)};
    static_cast<void>(policy.decide({.home = 0, .meanServiceTime = Mean}, offers));
    CHECK(policy.crossingMs() == ZoneExitPolicy::DefaultCrossingMs);
    for (int exchange = 0; exchange < 200; ++exchange) {
        const Duration noise = exchange % 5 == 0 ? 10ms : 0ms;
        policy.recordExchange(0, 300us + noise);
        policy.recordExchange(1, 1300us + noise);
        policy.recordExchange(2, 2300us + noise);
    }
    CHECK(policy.crossingMs() == doctest::Approx(1.5).epsilon(0.3));
    policy.setOptions({.crossingMs = 4});
    CHECK(policy.crossingMs() == 4);
}
