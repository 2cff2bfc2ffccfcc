#pragma once

#include "edge/forwardedcall.h"

#include "support/loopserver.h"

#include <filbertmount/telemetry/log.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace Filbertmount::TestSupport {

inline const ServiceName Shop("shop");

inline std::optional<UpstreamLoad> noLoad(std::string_view /*value*/)
{
    return std::nullopt;
}

inline HttpDialect dialect()
{
    return {.requestId = "Attempt",
            .timeLeft = "Time-Left",
            .expectedUpstream = "Expected",
            .apiKey = "Key",
            .account = "Account",
            .responseStamp = "Stamp",
            .notRun = "Not-Run",
            .upstreamId = "Upstream",
            .upstreamLoad = "Load",
            .draining = "Draining",
            .readinessPath = "/ready",
            .parseLoad = &noLoad};
}

inline std::string response(int status, const std::string &headers, const std::string &body = "body")
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nAttempt: id-1\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline const std::string Good = response(200, "Stamp: s\r\n");
inline const std::string NotRunResponse = response(503, "Not-Run: 1\r\n");
inline const std::string WrongUpstreamResponse = response(421, "Upstream: other\r\n");
inline const std::string Error = response(500, "Stamp: s\r\n", "error");

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
class CallFixture
{
public:
    explicit CallFixture(std::vector<Reaction> reactions, int serverCount = 3)
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
                      .routeSizes = routeSizes,
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

    std::shared_ptr<ForwardedCall> start(bool isRepeatable, Duration timeout = std::chrono::seconds(1))
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

    const ServerResponse &run(bool isRepeatable, Duration timeout = std::chrono::seconds(1))
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
    RouteSizes routeSizes;
    BufferBudget responseBuffers{std::size_t{1} << 20U};
    CallEnvironment environment;
    std::vector<std::unique_ptr<ScriptedServer>> servers;
    std::vector<std::string> requests;
    std::vector<UpstreamId> wrongUpstreams;
    std::optional<ServerResponse> result;
    /** Latency objective; the timeout when not set. */
    std::optional<Duration> objective;
};

} // namespace Filbertmount::TestSupport
