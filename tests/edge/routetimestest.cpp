#include <filbertmount/edge/routetimes.h>

#include <doctest/doctest.h>

using namespace Filbertmount;
using namespace std::chrono_literals;

// Load pattern: a noisy neighbour makes five of a hundred requests take five times as long.
TEST_CASE("route times: a hedge starts after the usual time, early enough to meet the objective where possible")
{
    struct Row {
        const char *name;
        Duration usual;
        Duration objectiveLeft;
        Duration earliest;
        Duration latest;
    };
    for (const Row &row : {Row{"short work, near objective", 60ms, 200ms, 110ms, 130ms},
                           Row{"long work, objective of three times as much", 280ms, 800ms, 430ms, 470ms},
                           Row{"objective too near for a second attempt in time", 1000ms, 2000ms, 1550ms, 1650ms},
                           Row{"objective missed already", 100ms, -50ms, 155ms, 165ms}}) {
        CAPTURE(row.name);
        RouteTimes times;
        for (int sample = 0; sample < 200; ++sample) {
            times.record("r", sample % 20 == 10 ? 5 * row.usual : row.usual);
        }
        const Duration delay = times.hedgeDelay({.name = "r"}, row.objectiveLeft);
        CHECK(delay >= row.earliest);
        CHECK(delay <= row.latest);
    }
}

// With many instances, each receives only a few requests of a route, so most have too few samples.
TEST_CASE("route times: with too few samples, the hedge delay is derived from the latency objective")
{
    const ForwardRoute route{.name = "r", .latencyObjective = 1s};
    RouteTimes times;
    CHECK(times.hedgeDelay(route, 1s) >= 500ms);
    CHECK(times.hedgeDelay(route, 1s) <= 650ms);
    for (int sample = 0; sample < 20; ++sample) {
        times.record("r", 100ms);
    }
    CHECK(times.hedgeDelay(route, 1s) >= 850ms);
    times.retain(RouteSet{.version = RouteSetVersion(2), .routes = {{.name = "other"}}});
    CHECK(times.hedgeDelay(route, 1s) <= 650ms);
}
