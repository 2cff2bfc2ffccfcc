#include "edge/callerhandler.h"

#include "support/callfixture.h"

using namespace Filbertmount;
using namespace Filbertmount::TestSupport;
using namespace std::chrono_literals;

namespace {

/** A handler whose routes have prefixes /read/ (repeatable) and /order/, both with an objective of 1 s and a timeout of 20 s. */
class HandlerFixture : public CallFixture
{
public:
    HandlerFixture()
        : CallFixture({{Good}})
        , handler(environment, 1)
    {
        RouteSet routes{.version = RouteSetVersion(1)};
        for (const bool isRepeatable : {true, false}) {
            routes.routes.push_back({.name = isRepeatable ? "read" : "order",
                                     .host = "h",
                                     .pathPrefix = isRepeatable ? "/read/" : "/order/",
                                     .isRepeatable = isRepeatable,
                                     .timeout = 20s,
                                     .latencyObjective = 1s,
                                     .maxAttempts = 2,
                                     .targets = {{.service = Shop, .weight = 1}}});
        }
        handler.setRoutes(std::make_shared<const RouteIndex>(routes));
        handler.startForwarding();
    }

    std::shared_ptr<ActiveRequest> send(const std::string &target, std::chrono::milliseconds timeLeft)
    {
        const auto milliseconds = timeLeft.count();
        return handler.handle({.method = "GET",
                               .target = target,
                               .headers = {{"Host", "h"}, {"Attempt", "id-1"}, {"Time-Left", std::to_string(milliseconds)}},
                               .body = {},
                               .client = {},
                               .arrival = ProcessClock::now()},
                              [this](ServerResponse given) {
                                  result = std::move(given);
                              });
    }

    CallerHandler handler;
};

/** Ends the calls that are still in progress; until then, a call and its connection keep each other alive. */
void abandonAll(const std::vector<std::shared_ptr<ForwardedCall>> &calls)
{
    for (const std::shared_ptr<ForwardedCall> &call : calls) {
        call->abandon();
    }
}

} // namespace

// Guards against requests that a stopping instance took late in its grace period, passed on, and cut off without an answer when
// it ended; orders among them may have run.
TEST_CASE("caller handler: while draining, a request that may still run when the process ends is refused as not run")
{
    struct Row {
        const char *name;
        std::string target;
        std::chrono::milliseconds callerWaits;
        /** Time until the process ends, and whether the balancer still sends connections. */
        Duration untilExit;
        bool isInBalancer;
        bool isForwarded;
    };
    const Row rows[] = {
        {"order whose caller waits until after the end", "/order/1", 8s, 4s, true, false},
        {"order whose caller waits until before the end", "/order/1", 3s, 4s, true, true},
        {"order that waits for the timeout of the route", "/order/1", 60s, 4s, true, false},
        {"order, just before the end", "/order/1", 3s, 10ms, false, false},
        {"read whose caller waits until after the end, early", "/read/1", 8s, 4s, true, true},
        {"read whose caller waits until after the end, late", "/read/1", 8s, 2s, false, false},
        {"read whose objective is after the end", "/read/1", 8s, 500ms, true, false},
        {"read whose caller waits until before the end", "/read/1", 1s, 2s, false, true},
    };
    for (const Row &row : rows) {
        CAPTURE(std::string(row.name));
        HandlerFixture fixture;
        const Instant now = ProcessClock::now();
        fixture.handler.startDraining(
            {.removedFromBalancerAt = row.isInBalancer ? now + 2600ms : now, .exitAt = now + row.untilExit});
        fixture.send(row.target, row.callerWaits);
        REQUIRE(runUntil(fixture.loop, [&] {
            return fixture.result.has_value();
        }));
        CHECK(fixture.result->status == (row.isForwarded ? 200 : 503));
        CHECK(fixture.received() == (row.isForwarded ? 1 : 0));
        CHECK((row.isForwarded || findHeader(fixture.result->headers, "Retry-After") != nullptr));
    }
}

TEST_CASE("caller handler: without a shutdown, requests with any deadline are forwarded")
{
    // The last one is longer than the clock's range, and was taken for one that has passed.
    for (const std::chrono::milliseconds timeLeft : {std::chrono::milliseconds(60s), std::chrono::milliseconds::max()}) {
        CAPTURE(timeLeft.count());
        HandlerFixture fixture;
        fixture.send("/order/1", timeLeft);
        REQUIRE(runUntil(fixture.loop, [&] {
            return fixture.result.has_value();
        }));
        CHECK(fixture.result->status == 200);
    }
}

// Guards against a request that waited for an upstream until the process ended, and whose caller was told nothing.
TEST_CASE("forwarded call: at the end of a shutdown, a request that was not sent is refused and one in progress goes on")
{
    SUBCASE("not sent")
    {
        // Four requests are in progress and keep all slots; the fifth one waits for one of them.
        CallFixture busy({{""}}, 1);
        std::vector<std::shared_ptr<ForwardedCall>> calls;
        constexpr std::size_t count = 5;
        calls.reserve(count);
        for (std::size_t index = 0; index < count; ++index) {
            calls.push_back(busy.start(false, 4s));
        }
        REQUIRE(runUntil(busy.loop, [&] {
            return busy.received() == 4;
        }));
        calls.back()->endIfWaiting();
        REQUIRE(busy.result.has_value());
        CHECK(busy.result->status == 503);
        CHECK(busy.received() == 4);
        abandonAll(calls);
    }
    SUBCASE("that waited since before the shutdown, when its turn comes")
    {
        CallFixture busy({{""}, {""}, {""}, {""}, {Good}}, 1);
        std::vector<std::shared_ptr<ForwardedCall>> calls;
        constexpr std::size_t count = 5;
        calls.reserve(count);
        for (std::size_t index = 0; index < count; ++index) {
            calls.push_back(busy.start(false, 4s));
        }
        REQUIRE(runUntil(busy.loop, [&] {
            return busy.received() == 4;
        }));
        const Instant now = ProcessClock::now();
        busy.environment.drain = DrainSchedule{.removedFromBalancerAt = now, .exitAt = now + 2s};
        // Frees a slot.
        calls.front()->abandon();
        REQUIRE(runUntil(busy.loop, [&] {
            return busy.result.has_value();
        }));
        CHECK(busy.result->status == 503);
        CHECK(busy.received() == 4);
        abandonAll(calls);
    }
    SUBCASE("in progress")
    {
        CallFixture fixture({{""}}, 1);
        const std::shared_ptr<ForwardedCall> call = fixture.start(false, 4s);
        REQUIRE(runUntil(fixture.loop, [&] {
            return fixture.received() == 1;
        }));
        call->endIfWaiting();
        CHECK_FALSE(fixture.result.has_value());
        call->abandon();
    }
}
