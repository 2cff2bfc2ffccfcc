#include "edge/stateservice.h"

#include "support/loopserver.h"

#include "storeprotocol.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace Filbertmount;
using namespace Filbertmount::TestSupport;
using namespace std::chrono_literals;

namespace {

/** The state service of a single instance, with a store that has no objects and answers watches at once. */
class Fixture
{
public:
    explicit Fixture(bool readsEvacuations)
        : m_server(loop,
                   [this](ScriptedPeer &peer) {
                       respond(peer);
                   })
        , m_fleet(loop, {.cluster = "test", .self = {.id = InstanceId("a"), .peerAddress = "127.0.0.33:17661"}}, m_metrics)
        , m_router({.self = InstanceId("a"), .send = m_fleet.sender()})
        , m_replicator(mirror, m_fleet, {.hasEvacuations = readsEvacuations}, [](const MirrorChanges &) {})
        , m_service(loop,
                    Platform::StoreProtocol(),
                    {.calls = {.store = m_server.endpoint()}, .instanceName = "a", .readsEvacuations = readsEvacuations},
                    mirror,
                    m_replicator,
                    m_fleet,
                    m_known,
                    m_metrics,
                    [](const MirrorChanges &) {})
    {
        m_fleet.setRouter(m_router);
        m_service.start();
    }

    [[nodiscard]] std::size_t callsOf(const std::string &kind) const
    {
        return static_cast<std::size_t>(std::count_if(m_calls.begin(), m_calls.end(), [&kind](const std::string &call) {
            return call.find("/api/objects/" + kind) != std::string::npos;
        }));
    }

    IoLoop loop;
    StateMirror mirror;

private:
    void respond(ScriptedPeer &peer)
    {
        const std::size_t end = peer.received.find("\r\n\r\n");
        if (end == std::string::npos) {
            return;
        }
        m_calls.push_back(peer.received.substr(0, peer.received.find("\r\n")));
        peer.received.erase(0, end + 4);
        const std::string body = R"({"items":[],"events":[],"store_revision":5})";
        peer.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    std::vector<std::string> m_calls;
    ScriptedServer m_server;
    Metrics m_metrics;
    Fleet m_fleet;
    KnownInstances m_known;
    Router m_router;
    StateReplicator m_replicator;
    StateService<Platform::StoreProtocol> m_service;
};

} // namespace

// Each call of the store is billed: a deployment that does not use evacuations must not pay for reading them.
TEST_CASE("state service: evacuations are read only if they are enabled, by the elected reader")
{
    for (const bool isEnabled : {true, false}) {
        CAPTURE(isEnabled);
        Fixture fixture(isEnabled);
        REQUIRE(runUntil(fixture.loop, [&] {
            return fixture.callsOf("servers") > 3 && (!isEnabled || fixture.callsOf("evacuations") > 1);
        }));
        CHECK((fixture.callsOf("evacuations") > 0) == isEnabled);
        CHECK(fixture.mirror.revision(StateKind::Evacuations).has_value() == isEnabled);
    }
}
