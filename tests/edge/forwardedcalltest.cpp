#include "support/callfixture.h"

using namespace Filbertmount;
using namespace Filbertmount::TestSupport;
using namespace std::chrono_literals;

TEST_CASE("forwarded call: retries and final responses after each end of an attempt")
{
    struct Row {
        const char *name;
        bool isRepeatable;
        std::vector<Reaction> reactions;
        int status;
        std::size_t received;
    };
    const Row rows[] = {
        {"success", false, {{Good}}, 200, 1},
        {"full, then success", false, {{NotRunResponse}, {Good}}, 200, 2},
        {"full twice", false, {{NotRunResponse}, {NotRunResponse}}, 503, 2},
        {"address of another upstream, then success", false, {{WrongUpstreamResponse}, {Good}}, 200, 2},
        {"unrepeatable, reset", false, {{"", true}, {Good}}, 502, 1},
        {"unrepeatable, failed", false, {{Error}, {Good}}, 500, 1},
        {"unrepeatable, no stamp", false, {{response(200, "")}, {Good}}, 502, 1},
        {"unrepeatable, cut short", false, {{Good.substr(0, 30)}, {Good}}, 504, 1},
        {"repeatable, reset", true, {{"", true}, {Good}}, 200, 2},
        {"repeatable, failed", true, {{Error}, {Good}}, 200, 2},
        {"repeatable, failed twice", true, {{Error}, {Error}}, 500, 2},
        {"repeatable, reset and then full", true, {{"", true}, {NotRunResponse}}, 502, 2},
        {"repeatable, coded body", true, {{response(200, "Stamp: s\r\nContent-Encoding: gzip\r\n")}, {Good}}, 200, 2},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        CallFixture fixture(row.reactions);
        CHECK(fixture.run(row.isRepeatable, 500ms).status == row.status);
        CHECK(fixture.received() == row.received);
    }
}

TEST_CASE("forwarded call: a response is forwarded unchanged except for its hop-by-hop headers")
{
    CallFixture fixture({{response(404, "Stamp: s\r\nKeep-Alive: timeout=5\r\nX-Own: 1\r\n", "gone")}});
    const ServerResponse &given = fixture.run(true);
    CHECK(given.status == 404);
    CHECK(given.body == "gone");
    CHECK(*findHeader(given.headers, "Stamp") == "s");
    CHECK(*findHeader(given.headers, "X-Own") == "1");
    CHECK(findHeader(given.headers, "Keep-Alive") == nullptr);
}

TEST_CASE("forwarded call: the upstream receives the remaining time and its own id")
{
    CallFixture fixture({{Good}});
    fixture.run(true, 700ms);
    const std::string &request = fixture.requests.at(0);
    const std::size_t at = request.find("Time-Left: ");
    REQUIRE(at != std::string::npos);
    const int milliseconds = std::atoi(request.c_str() + at + 11); // NOLINT(cert-err34-c): the test sets the format.
    CHECK(milliseconds <= 700);
    CHECK(milliseconds > 0);
    CHECK(request.find("Time-Left: 9000") == std::string::npos);
    CHECK(request.find("Expected: u") != std::string::npos);
}

TEST_CASE("forwarded call: when the caller disconnects, the connection to the upstream is closed")
{
    CallFixture fixture({{""}});
    const std::shared_ptr<ForwardedCall> call = fixture.start(true, 5s);
    REQUIRE(runUntil(fixture.loop, [&] {
        return fixture.received() == 1;
    }));
    call->abandon();
    const auto isClosed = [&] {
        return std::any_of(fixture.servers.begin(), fixture.servers.end(), [](const auto &server) {
            return std::any_of(server->peers.begin(), server->peers.end(), [](const auto &peer) {
                return peer->isClosedByClient;
            });
        });
    };
    CHECK(runUntil(fixture.loop, isClosed));
    CHECK_FALSE(fixture.result.has_value());
}

// Load pattern: an upstream is slowed down by a noisy neighbour just after the request was sent to it.
TEST_CASE("forwarded call: a repeatable request that takes unusually long is sent to a second upstream")
{
    struct Row {
        const char *name;
        bool isRepeatable;
        std::vector<Reaction> reactions;
        int status;
        std::size_t received;
        Duration timeout;
    };
    const Reaction silent{""};
    const Row rows[] = {
        {"the second responds", true, {silent, {Good}}, 200, 2, 4s},
        {"the second is full, the first never responds", true, {silent, {NotRunResponse}}, 504, 2, 1500ms},
        {"must not run twice", false, {silent, {Good}}, 504, 1, 400ms},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        CallFixture fixture(row.reactions);
        fixture.router.configure(Shop, {.retries = {.budgetPercent = 100, .maxBurst = 2}});
        fixture.objective = 60ms;
        for (int sample = 0; sample < 20; ++sample) {
            fixture.routeTimes.record("r", 10ms);
        }
        CHECK(fixture.run(row.isRepeatable, row.timeout).status == row.status);
        CHECK(fixture.received() == row.received);
    }
}

TEST_CASE("forwarded call: a hedge takes from the retry budget and is not sent when it is used up")
{
    CallFixture fixture({{""}, {Good}});
    fixture.objective = 60ms;
    for (int sample = 0; sample < 20; ++sample) {
        fixture.routeTimes.record("r", 10ms);
    }
    while (fixture.router.takeRetry(Shop)) { }
    fixture.router.configure(Shop, {.retries = {.budgetPercent = 0}});
    CHECK(fixture.run(true, 300ms).status == 504);
    CHECK(fixture.received() == 1);
}

TEST_CASE("forwarded call: a request that crashes upstreams is stopped after three, one whose responses are lost is not")
{
    struct Row {
        const char *name;
        Reaction reaction;
        std::size_t most;
        int lastStatus;
    };
    constexpr int calls = 8;
    const Row rows[] = {
        {"crashes", {.crashes = true}, 3, 503},
        {"responses are lost", {.resets = true}, std::size_t{2} * calls, 502},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        CallFixture fixture({row.reaction}, 8);
        for (int call = 0; call < calls; ++call) {
            fixture.result.reset();
            fixture.run(true);
            // The crash check ends shortly after the response.
            runUntil(fixture.loop, [&fixture] {
                return fixture.crashCheck.runningChecks() == 0;
            });
        }
        CHECK(fixture.received() <= row.most);
        CHECK(fixture.result->status == row.lastStatus);
        CHECK((fixture.crashGuard.quarantined() == 1) == row.reaction.crashes);
    }
}

// The steps of docs/OPERATIONS.md that lead from the id of a failed request to its cause.

TEST_CASE("operations walk: a refusal under load names the reason, the service and the version of the routes")
{
    CallFixture fixture({{Good}});
    fixture.router.updateUpstreams(Shop, {});
    CHECK(fixture.run(true).status == 503);
    CHECK(findHeader(fixture.result->headers, "Retry-After") != nullptr);
    const std::vector<nlohmann::json> lines = fixture.linesOfRequest();
    REQUIRE(lines.size() == 1);
    CHECK(lines[0]["outcome"] == "refused");
    CHECK(lines[0]["reason"] == "no-upstream");
    CHECK(lines[0]["service"] == "shop");
    CHECK(lines[0]["routes_version"] == 7);
    CHECK(lines[0]["attempts"] == 0);
}

TEST_CASE("operations walk: an order that may have run names the upstream that may have run it")
{
    CallFixture fixture({{"", true}});
    CHECK(fixture.run(false).status == 502);
    const std::vector<nlohmann::json> lines = fixture.linesOfRequest();
    REQUIRE(lines.size() == 2);
    CHECK(lines[0]["end"] == "broken");
    CHECK(lines[0]["reason"] != "");
    CHECK(lines[1]["outcome"] == "failed");
    CHECK(lines[1]["reason"] == "broken");
    CHECK(lines[1]["upstream"] == lines[0]["upstream"]);
}

TEST_CASE("operations walk: a request that met a leaving upstream shows both attempts")
{
    CallFixture fixture({{WrongUpstreamResponse}, {Good}});
    CHECK(fixture.run(false).status == 200);
    const std::vector<nlohmann::json> lines = fixture.linesOfRequest();
    REQUIRE(lines.size() == 2);
    CHECK(lines[0]["end"] == "wrong-upstream");
    CHECK(lines[0]["attempt"] == 1);
    CHECK(lines[1]["attempts"] == 2);
    REQUIRE(fixture.wrongUpstreams.size() == 1);
    CHECK(fixture.wrongUpstreams[0].value() == lines[0]["upstream"].get<std::string>());
}
