#include "edge/forwardedcall.h"

#include "support/loopserver.h"

#include <filbertmount/telemetry/log.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>
#include <set>

using namespace Filbertmount;
using namespace Filbertmount::TestSupport;
using namespace std::chrono_literals;

namespace {

const ServiceName Shop("shop");

std::optional<UpstreamLoad> noLoad(std::string_view /*value*/)
{
    return std::nullopt;
}

HttpDialect dialect()
{
    return {.requestId = "Attempt",
            .timeLeft = "Time-Left",
            .expectedUpstream = "Expected",
            .responseStamp = "Stamp",
            .notRun = "Not-Run",
            .upstreamId = "Upstream",
            .upstreamLoad = "Load",
            .draining = "Draining",
            .readinessPath = "/ready",
            .parseLoad = &noLoad};
}

std::string response(int status, const std::string &headers, const std::string &body = "body")
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nAttempt: id-1\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

const std::string Good = response(200, "Stamp: s\r\n");
const std::string NotRunResponse = response(503, "Not-Run: 1\r\n");
const std::string WrongUpstreamResponse = response(421, "Upstream: other\r\n");
const std::string Error = response(500, "Stamp: s\r\n", "error");

/** How a scripted upstream reacts to a request: it responds or ends the connection. */
struct Reaction {
    std::string text;
    bool resets = false;
    /** Ends the connection and stops listening. */
    bool crashes = false;
    /** Writes an earlier refusal once more before the text, if it wrote one on this connection. */
    bool repeatsRefusal = false;
};

/** Forwards calls to scripted upstreams; the n-th request to any of them gets the n-th reaction. */
class Fixture
{
public:
    explicit Fixture(std::vector<Reaction> reactions, int serverCount = 3)
        : m_reactions(std::move(reactions))
        , router({.self = InstanceId("self")})
        , pool(loop)
        , names(dialect())
        , crashGuard(InstanceId("self"), [](const Wire::Body & /*strike*/) {}, {})
        , crashCheck(loop)
        , environment{.loop = loop,
                      .dialect = names,
                      .router = router,
                      .pool = pool,
                      .metrics = metrics,
                      .crashGuard = crashGuard,
                      .crashCheck = crashCheck,
                      .routeTimes = routeTimes,
                      .responseBuffers = responseBuffers,
                      .onWrongUpstream = [this](const ServiceName & /*service*/, const UpstreamId &upstream) {
                          wrongUpstreams.push_back(upstream);
                      }}
    {
        for (int index = 0; index < serverCount; ++index) {
            servers.push_back(std::make_unique<ScriptedServer>(loop, [this](ScriptedPeer &peer) {
                react(peer);
            }));
        }
        router.configure(Shop, {.retries = {.budgetPercent = 100}});
        std::vector<RoutedUpstream> upstreams;
        for (std::size_t index = 0; index < servers.size(); ++index) {
            upstreams.push_back(
                {.id = UpstreamId("u" + std::to_string(index)), .address = servers[index]->address(), .slots = 4});
        }
        router.updateUpstreams(Shop, upstreams);
    }

    std::shared_ptr<ForwardedCall> start(bool isRepeatable, Duration timeout = 1s)
    {
        ForwardRoute route{.name = "r",
                           .host = "h",
                           .pathPrefix = "/",
                           .isRepeatable = isRepeatable,
                           .timeout = timeout,
                           .maxAttempts = 2,
                           .targets = {{.service = Shop, .weight = 1}}};
        auto routes = std::make_shared<const RouteIndex>(RouteSet{.version = RouteSetVersion(7), .routes = {route}});
        const Instant now = ProcessClock::now();
        RoutedRequest request{.request = {.method = isRepeatable ? "GET" : "POST",
                                          .target = "/1",
                                          .headers = {{"Host", "h"}, {"Attempt", "id-1"}, {"Time-Left", "9000"}},
                                          .arrival = now},
                              .routes = routes,
                              .route = &routes->routes().routes[0],
                              .service = Shop,
                              .requestId = "id-1",
                              .deadline = now + timeout,
                              .objective = now + objective.value_or(timeout)};
        auto call = std::make_shared<ForwardedCall>(environment, std::move(request), [this](ServerResponse given) {
            result = std::move(given);
        });
        call->start();
        return call;
    }

    const ServerResponse &run(bool isRepeatable, Duration timeout = 1s)
    {
        start(isRepeatable, timeout);
        REQUIRE(runUntil(loop, [this] {
            return result.has_value();
        }));
        return *result;
    }

    [[nodiscard]] std::size_t received() const
    {
        return requests.size();
    }

    /** Log lines with the id of the request. */
    [[nodiscard]] std::vector<nlohmann::json> linesOfRequest() const
    {
        std::vector<nlohmann::json> found;
        for (const std::string &line : capture.lines()) {
            nlohmann::json parsed = nlohmann::json::parse(line);
            if (parsed.value("request", std::string()) == "id-1") {
                found.push_back(std::move(parsed));
            }
        }
        return found;
    }

private:
    void react(ScriptedPeer &peer)
    {
        if (peer.received.find("\r\n\r\n") == std::string::npos) {
            return;
        }
        requests.push_back(std::exchange(peer.received, {}));
        const Reaction reaction = m_reactions.at(std::min(requests.size(), m_reactions.size()) - 1);
        if (reaction.crashes) {
            for (const auto &server : servers) {
                const bool isPeerOfServer = std::any_of(server->peers.begin(), server->peers.end(), [&peer](const auto &known) {
                    return known.get() == &peer;
                });
                if (isPeerOfServer) {
                    server->stopListening();
                }
            }
        }
        if (reaction.resets || reaction.crashes) {
            peer.reset();
        } else {
            const bool hasRefused = !m_refusingPeers.insert(&peer).second;
            if (reaction.text.find("Not-Run") == std::string::npos && !hasRefused) {
                m_refusingPeers.erase(&peer);
            }
            peer.send((reaction.repeatsRefusal && hasRefused ? NotRunResponse : std::string()) + reaction.text);
        }
    }

    std::vector<Reaction> m_reactions;
    /** Connections on which a refusal was written. */
    std::set<const ScriptedPeer *> m_refusingPeers;

public:
    LogCapture capture;
    IoLoop loop;
    Metrics metrics;
    Router router;
    ConnectionPool pool;
    HttpDialect names;
    CrashGuard crashGuard;
    CrashCheck crashCheck;
    RouteTimes routeTimes;
    BufferBudget responseBuffers{std::size_t{1} << 20U};
    CallEnvironment environment;
    std::vector<std::unique_ptr<ScriptedServer>> servers;
    std::vector<std::string> requests;
    std::vector<UpstreamId> wrongUpstreams;
    std::optional<ServerResponse> result;
    /** Latency objective; the timeout when not set. */
    std::optional<Duration> objective;
};

} // namespace

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
        Fixture fixture(row.reactions);
        CHECK(fixture.run(row.isRepeatable, 500ms).status == row.status);
        CHECK(fixture.received() == row.received);
    }
}

// Guards against a request that is reported as not run, or sent to a second upstream, while the first one runs it.
TEST_CASE("forwarded call: an old refusal that is written again is not taken for the response to the same request")
{
    Fixture fixture({{NotRunResponse}, {.text = Good, .repeatsRefusal = true}}, 1);
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
        Fixture fixture(reactions, 1);
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
    Fixture fixture({{response(200, "Stamp: s\r\nDraining: 1\r\n")}}, 2);
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
    Fixture fixture({{response(503, "Not-Run: 1\r\nRetry-After: 30\r\n")}, {response(503, "Not-Run: 1\r\nRetry-After: 20\r\n")}},
                    2);
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
    Fixture fixture({{Good}});
    BufferReservation others(&fixture.responseBuffers);
    REQUIRE(others.resize(BufferReservation::FreeBytes + (std::size_t{900} << 10U)));
    CHECK(fixture.run(true).status == 503);
    CHECK(fixture.received() == 0);
    others = BufferReservation();
    fixture.result.reset();
    CHECK(fixture.run(true).status == 200);
}

TEST_CASE("forwarded call: a response is forwarded unchanged except for its hop-by-hop headers")
{
    Fixture fixture({{response(404, "Stamp: s\r\nKeep-Alive: timeout=5\r\nX-Own: 1\r\n", "gone")}});
    const ServerResponse &given = fixture.run(true);
    CHECK(given.status == 404);
    CHECK(given.body == "gone");
    CHECK(*findHeader(given.headers, "Stamp") == "s");
    CHECK(*findHeader(given.headers, "X-Own") == "1");
    CHECK(findHeader(given.headers, "Keep-Alive") == nullptr);
}

TEST_CASE("forwarded call: the upstream receives the remaining time and its own id")
{
    Fixture fixture({{Good}});
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
    Fixture fixture({{""}});
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
        Fixture fixture(row.reactions);
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
    Fixture fixture({{""}, {Good}});
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
        Fixture fixture({row.reaction}, 8);
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
    Fixture fixture({{Good}});
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
    Fixture fixture({{"", true}});
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
    Fixture fixture({{WrongUpstreamResponse}, {Good}});
    CHECK(fixture.run(false).status == 200);
    const std::vector<nlohmann::json> lines = fixture.linesOfRequest();
    REQUIRE(lines.size() == 2);
    CHECK(lines[0]["end"] == "wrong-upstream");
    CHECK(lines[0]["attempt"] == 1);
    CHECK(lines[1]["attempts"] == 2);
    REQUIRE(fixture.wrongUpstreams.size() == 1);
    CHECK(fixture.wrongUpstreams[0].value() == lines[0]["upstream"].get<std::string>());
}
