#include "support/callfixture.h"

#include <random>

using namespace Filbertmount;
using namespace Filbertmount::TestSupport;
using namespace std::chrono_literals;

// Guards against a request that is reported as not run, or sent to a second upstream, while the first one runs it.
TEST_CASE("forwarded call: an old refusal that is written again is not taken for the response to the same request")
{
    CallFixture fixture({{NotRunResponse}, {.text = Good, .repeatsRefusal = true}}, 1);
    CHECK(fixture.run(false, 300ms).status == 503);
    fixture.result.reset();
    CHECK(fixture.run(false, 300ms).status == 200);
    CHECK(fixture.received() == 2);
}

// A faulty upstream writes any of these, any number of times, whenever it receives a request. It has run a request exactly if it
// wrote a response other than a refusal for it.
TEST_CASE("forwarded call: whatever a faulty upstream writes, a request that it ran is not reported as not run")
{
    constexpr int scripts = 60;
    constexpr int callsPerScript = 6;
    const std::vector<std::string> pieces = {Good,
                                             Error,
                                             NotRunResponse,
                                             response(503, "Not-Run: 1\r\nConnection: close\r\n"),
                                             "HTTP/1.1 100 Continue\r\n\r\n",
                                             "HTTP/1.1 200 OK\r\nAttempt: id-0\r\nContent-Length: 4\r\n\r\nbody",
                                             "\r\n",
                                             "garbage",
                                             Good.substr(0, 20)};
    for (unsigned seed = 1; seed <= scripts; ++seed) {
        CAPTURE(seed);
        std::mt19937 random(seed);
        std::vector<Reaction> reactions;
        std::vector<bool> hasRun;
        for (int call = 0; call < callsPerScript; ++call) {
            const bool runs = random() % 2 == 0;
            std::string text = runs ? pieces[random() % 2] : NotRunResponse;
            if (random() % 3 == 0) {
                text += pieces[random() % pieces.size()];
            }
            reactions.push_back({.text = text, .repeatsRefusal = true});
            hasRun.push_back(runs);
        }
        CallFixture fixture(reactions, 1);
        std::size_t seen = 0;
        for (int call = 0; call < callsPerScript; ++call) {
            fixture.result.reset();
            const int status = fixture.run(false, 60ms).status;
            REQUIRE(fixture.received() <= seen + 1);
            if (fixture.received() > seen && hasRun[seen]) {
                CHECK(status != 503);
            }
            seen = fixture.received();
        }
    }
}

TEST_CASE("forwarded call: an upstream that states that it is draining gets no further request and keeps no connection")
{
    CallFixture fixture({{response(200, "Stamp: s\r\nDraining: 1\r\n")}}, 2);
    CHECK(fixture.run(true).status == 200);
    const std::string drained = fixture.requests[0].substr(fixture.requests[0].find("Expected: u"), 12);
    for (int call = 0; call < 6; ++call) {
        fixture.result.reset();
        fixture.run(true);
        CHECK(fixture.requests.back().find(drained) == std::string::npos);
        if (call == 0) {
            // The second upstream states it as well; from then on, requests are refused without being sent.
            break;
        }
    }
    fixture.result.reset();
    CHECK(fixture.run(true).status == 503);
    CHECK(fixture.received() == 2);
    CHECK(runUntil(fixture.loop, [&] {
        return std::all_of(fixture.servers.begin(), fixture.servers.end(), [](const auto &server) {
            return server->peers.at(0)->isClosedByClient;
        });
    }));
}

// Load pattern: all upstreams of a service are full and ask for a pause.
TEST_CASE("forwarded call: while all upstreams pause, callers are refused at once with the time until the first pause ends")
{
    CallFixture fixture(
        {{response(503, "Not-Run: 1\r\nRetry-After: 30\r\n")}, {response(503, "Not-Run: 1\r\nRetry-After: 20\r\n")}}, 2);
    CHECK(fixture.run(false).status == 503);
    CHECK(fixture.received() == 2);
    fixture.result.reset();
    const Instant before = ProcessClock::now();
    CHECK(fixture.run(false, 900ms).status == 503);
    CHECK(ProcessClock::now() - before < 900ms);
    CHECK(fixture.received() == 2);
    const double retryAfter = std::stod(*findHeader(fixture.result->headers, "Retry-After"));
    CHECK(retryAfter > 19);
    CHECK(retryAfter <= 25);
    CHECK(fixture.linesOfRequest().back()["reason"] == "upstreams-paused");
}

TEST_CASE("forwarded call: while the buffers for responses are full, requests are refused before they run")
{
    CallFixture fixture({{Good}});
    BufferReservation others(&fixture.responseBuffers);
    REQUIRE(others.resize(BufferReservation::FreeBytes + (std::size_t{900} << 10U)));
    CHECK(fixture.run(true).status == 503);
    CHECK(fixture.received() == 0);
    others = BufferReservation();
    fixture.result.reset();
    CHECK(fixture.run(true).status == 200);
}
