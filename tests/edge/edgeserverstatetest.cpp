#include "edge/edgeserver.h"
#include "edge/stateservice.h"

#include "support/loopserver.h"

#include "httpnames.h"
#include "storeprotocol.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

using namespace Filbertmount;
using namespace Filbertmount::TestSupport;
using namespace std::chrono_literals;

namespace {

constexpr const char *Address = "127.0.0.47";
constexpr std::uint16_t CallersPort = 17663;
constexpr int OldVersion = 1;

/** A store whose reads that may be old return OldVersion. */
class OldReadsStore
{
public:
    explicit OldReadsStore(IoLoop &loop)
        : m_server(loop, [this](ScriptedPeer &peer) {
            respond(peer);
        })
    {
    }

    [[nodiscard]] std::string address() const
    {
        return m_server.address();
    }

    int currentVersion = 5;
    /** Whether it answers 503 to all calls but reads that may be old. */
    bool servesOnlyOldReads = false;

private:
    void respond(ScriptedPeer &peer)
    {
        const std::size_t end = peer.received.find("\r\n\r\n");
        if (end == std::string::npos) {
            return;
        }
        const std::string call = peer.received.substr(0, peer.received.find("\r\n"));
        peer.received.erase(0, end + 4);
        const bool isOld = call.find("stale_ok=1") != std::string::npos;
        if (servesOnlyOldReads && !isOld) {
            peer.send("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n");
        } else if (call.find("watch=") == std::string::npos) {
            const int version = isOld ? OldVersion : currentVersion;
            const std::string body = call.find("/objects/config") != std::string::npos ? routes(version) : empty(version);
            peer.send("HTTP/1.1 200 X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        }
    }

    static std::string empty(int revision)
    {
        return R"({"items":[],"has_more":false,"store_revision":)" + std::to_string(revision) + "}";
    }

    static std::string routes(int version)
    {
        const std::string number = std::to_string(version);
        return R"({"items":[{"metadata":{"name":"main","revision":)" + number + R"(},"spec":{"version":")" + number
            + R"(","routes":{"columns":[],"rows":[]},"services":{"columns":[],"rows":[]}}}],"has_more":false,"store_revision":)"
            + number + "}";
    }

    ScriptedServer m_server;
};

EdgeSettings settingsFor(const std::string &store)
{
    return {.name = "edge",
            .zone = AvailabilityZone("z"),
            .ip = Address,
            .callers = *parseEndpoint(std::string(Address) + ":" + std::to_string(CallersPort)),
            .readiness = *parseEndpoint(std::string(Address) + ":17664"),
            .peerPort = 17665,
            .metricsPort = 17666,
            .store = *parseEndpoint(store)};
}

StateService<Platform::StoreProtocol>::Options serviceOptions(const EdgeSettings &settings)
{
    StateService<Platform::StoreProtocol>::Options options{.calls = {.store = *toTcpEndpoint(settings.store.text())},
                                                           .instanceName = "edge"};
    return options;
}

/** An entry instance without others, beside a store whose reads may be old. */
struct Instance {
    Instance()
    {
        state.start();
    }

    void runFor(Duration time)
    {
        runUntil(loop, [end = ProcessClock::now() + time] {
            return ProcessClock::now() >= end;
        });
    }

    bool becomesReady()
    {
        return runUntil(loop, [this] {
            return server.isReady();
        });
    }

    /** Log lines with @p text. */
    [[nodiscard]] std::vector<std::string> lines(const std::string &text) const
    {
        std::vector<std::string> all = log.lines();
        std::erase_if(all, [&text](const std::string &line) {
            return line.find(text) == std::string::npos;
        });
        return all;
    }

    LogCapture log{LogLevel::Info};
    IoLoop loop{1};
    OldReadsStore store{loop};
    EdgeSettings settings = settingsFor(store.address());
    EdgeServer server{loop, settings, Platform::httpDialect()};
    StateService<Platform::StoreProtocol> state{loop,
                                                Platform::StoreProtocol(),
                                                serviceOptions(settings),
                                                server.mirror(),
                                                server.replicator(),
                                                server.fleet(),
                                                server.knownInstances(),
                                                server.metrics(),
                                                [this](const MirrorChanges &changes) {
                                                    server.onStateChange(changes);
                                                }};
};

bool hasField(const std::string &line, const std::string &name, int value)
{
    const std::string field = "\"" + name + "\":" + std::to_string(value);
    return line.find(field + ",") != std::string::npos || line.find(field + "}") != std::string::npos;
}

/** Sends a request that no route matches; the response shows which configuration is in force. */
void sendRequest(Tcp::socket &client)
{
    client.connect(Tcp::endpoint(Asio::ip::make_address(Address), CallersPort));
    Asio::write(client, Asio::buffer(std::string("GET /a HTTP/1.1\r\nHost: shop.example\r\n\r\n")));
}

} // namespace

// After a start, requests were answered by a version of seconds ago until the digest of a reader arrived.
TEST_CASE("edge server: a listing that may be old is not in force after the start")
{
    Instance instance;
    REQUIRE(instance.becomesReady());
    const std::vector<std::string> inForce = instance.lines("routes in force");
    REQUIRE(inForce.size() == 1);
    CHECK(hasField(inForce[0], "version", 5));
}

// A request that arrives during the start must not be answered from an old listing when its time to wait is over.
TEST_CASE("edge server: while only old reads are served, requests get 503 and the instance is not ready")
{
    Instance instance;
    instance.store.servesOnlyOldReads = true;
    Tcp::socket client(instance.loop);
    sendRequest(client);
    REQUIRE(runUntil(instance.loop, [&] {
        return !instance.lines("request answered").empty();
    }));
    CHECK(hasField(instance.lines("request answered")[0], "status", 503));
    CHECK(instance.lines("routes in force").empty());
    CHECK_FALSE(instance.server.isReady());
}

// Instances that had been suspended answered requests by a replaced version for up to 0.7 s after they woke.
TEST_CASE("edge server: after a suspension, requests wait until the store has confirmed the state")
{
    Instance instance;
    instance.server.setResumeHandler([&instance] {
        instance.state.rereadStore();
    });
    REQUIRE(instance.becomesReady());
    instance.runFor(400ms);
    Tcp::socket client(instance.loop);
    sendRequest(client);
    instance.store.currentVersion = 9;
    // The loop does not run, as while the machine is suspended; the request waits in the socket.
    std::this_thread::sleep_for(900ms);
    REQUIRE(runUntil(instance.loop, [&] {
        return !instance.lines("request answered").empty();
    }));
    CHECK(hasField(instance.lines("request answered")[0], "routes_version", 9));
}
